package ashlink.capture.events;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Settings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Decodes the frames written by {@link EntryWriter}. Not thread-safe. */
public final class EntryReader {

    private final FrameDecoder in = new FrameDecoder();

    /** Starts a segment, whose frames do not depend on frames read before. */
    public void startSegment() {
        in.startSegment();
    }

    /**
     * Decodes the next frame of the segment.
     *
     * @param consumer receives the entries in order
     * @throws IOException if the frame is malformed; the consumer has received the entries before
     *     the malformed entry
     */
    public void read(byte[] frame, Consumer<Entry> consumer) throws IOException {
        in.startFrame(frame);
        while (in.hasRemaining()) {
            consumer.accept(readEntry());
        }
    }

    private Entry readEntry() throws IOException {
        int tag = in.readByte();
        return switch (tag) {
            case EntryWriter.START -> readStart();
            case EntryWriter.STEP -> readStep();
            case EntryWriter.GAP -> new Entry.Gap(in.readUnsigned());
            default ->
                    throw new IOException(
                            "unknown entry tag %d: expected %d to %d"
                                    .formatted(tag, EntryWriter.START, EntryWriter.GAP));
        };
    }

    private Entry.Start readStart() throws IOException {
        String moduleHash = in.readText();
        String router = in.readText();
        Settings settings = SettingsCodec.read(in);
        return new Entry.Start(moduleHash, settings, router);
    }

    private Entry.Step readStep() throws IOException {
        long nowNs = in.readStepTime();
        Event event = EventCodec.read(in);
        int actionCount = in.readCount(StoredLimits.MAX_COUNT);
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < actionCount; i++) {
            actions.add(ActionCodec.read(in));
        }
        return new Entry.Step(event, nowNs, actions);
    }
}
