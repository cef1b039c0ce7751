package ashlink.capture.events;

import java.util.function.UnaryOperator;

/**
 * Encodes entries into frames. The frames of a segment refer to earlier frames of the same segment,
 * never to another segment. Not safe for use by several threads.
 */
public final class EntryWriter {

    static final int START = 1;
    static final int STEP = 2;
    static final int GAP = 3;

    private final FrameEncoder out = new FrameEncoder();
    private final UnaryOperator<String> hideKey;

    /**
     * A writer.
     *
     * @param hideKey replaces each ordering key, so that none is stored
     */
    public EntryWriter(UnaryOperator<String> hideKey) {
        this.hideKey = hideKey;
    }

    /** Returns the buffer, of which the first {@link #size()} bytes are the current frame. */
    public byte[] bytes() {
        return out.bytes();
    }

    /** Returns the length of the current frame in bytes. */
    public int size() {
        return out.size();
    }

    /** Starts a frame, which may be the first of a segment. */
    public void startFrame(boolean newSegment) {
        out.startFrame();
        if (newSegment) {
            out.startSegment();
        }
    }

    /** Appends an entry to the current frame. */
    public void write(Entry entry) {
        if (entry instanceof Entry.Start start) {
            out.writeByte(START);
            out.writeText(start.moduleHash());
            out.writeText(start.router());
            SettingsCodec.write(start.settings(), out);
        } else if (entry instanceof Entry.Step step) {
            out.writeByte(STEP);
            out.writeStepTime(step.nowNs());
            EventCodec.write(step.event(), out, hideKey);
            out.writeUnsigned(step.actions().size());
            step.actions().forEach(action -> ActionCodec.write(action, out));
        } else if (entry instanceof Entry.Gap gap) {
            out.writeByte(GAP);
            out.writeUnsigned(gap.entries());
        }
    }
}
