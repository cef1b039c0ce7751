package ashlink.capture.events;

import java.util.function.UnaryOperator;

/**
 * Encodes entries into frames. A frame can depend on earlier frames of the same segment, but never
 * on another segment. Not thread-safe.
 */
public final class EntryWriter {

    static final int START = 1;
    static final int STEP = 2;
    static final int GAP = 3;

    private final FrameEncoder out = new FrameEncoder();
    private final UnaryOperator<String> maskKey;

    /**
     * Creates a writer.
     *
     * @param maskKey masks an ordering key, so that no key is stored in plain text
     */
    public EntryWriter(UnaryOperator<String> maskKey) {
        this.maskKey = maskKey;
    }

    /** Returns the buffer, whose first {@link #size()} bytes are the current frame. */
    public byte[] bytes() {
        return out.bytes();
    }

    /** Returns the length of the current frame in bytes. */
    public int size() {
        return out.size();
    }

    /**
     * Starts a frame.
     *
     * @param newSegment whether the frame is the first frame of a segment
     */
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
            EventCodec.write(step.event(), out, maskKey);
            out.writeUnsigned(step.actions().size());
            step.actions().forEach(action -> ActionCodec.write(action, out));
        } else if (entry instanceof Entry.Gap gap) {
            out.writeByte(GAP);
            out.writeUnsigned(gap.entries());
        }
    }
}
