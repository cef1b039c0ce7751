package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.events.EntryReader;
import ashlink.capture.log.Disk;
import ashlink.capture.log.Segment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads a capture; each segment is read up to its first damaged frame. Not thread-safe. */
public final class CaptureReader {

    private static final long UNKNOWN_ENTRIES = 0;

    /**
     * Summary of a segment that was read.
     *
     * @param name file name
     * @param state result of reading the segment
     * @param boot identifier of the router start that wrote the segment
     * @param number index of the segment among the segments of this router start, from 0
     * @param firstEntry index of the first entry of the segment among the entries of this start
     * @param entries number of entries read
     * @param bytes length of the file in bytes
     * @param reason cause of a state other than {@link Segment.State#WHOLE}; empty otherwise
     */
    public record SegmentSummary(
            String name,
            Segment.State state,
            long boot,
            int number,
            long firstEntry,
            long entries,
            long bytes,
            String reason) {}

    private final Disk disk;
    private final EntryReader reader = new EntryReader();

    /** Creates a reader of the capture in a directory. */
    public CaptureReader(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads all entries in order. If a segment does not directly continue the previous segment, a
     * gap of unknown size is passed to the consumer before the entries of the segment.
     *
     * @return summaries of the segments in order
     */
    public List<SegmentSummary> read(Consumer<Entry> consumer) throws IOException {
        List<SegmentSummary> segments = new ArrayList<>();
        SegmentSummary previous = null;
        for (String name : disk.list()) {
            if (Segment.isSegment(name)) {
                previous = readSegment(name, previous, consumer);
                segments.add(previous);
            }
        }
        return segments;
    }

    private SegmentSummary readSegment(
            String name, SegmentSummary previous, Consumer<Entry> consumer) throws IOException {
        byte[] bytes = disk.read(name);
        Segment.Contents contents = Segment.read(bytes);
        if (!continues(contents, previous)) {
            consumer.accept(new Entry.Gap(UNKNOWN_ENTRIES));
        }
        CountingConsumer counter = new CountingConsumer(consumer);
        Segment.State state = contents.state();
        String reason = contents.reason();
        reader.startSegment();
        try {
            for (byte[] frame : contents.frames()) {
                reader.read(frame, counter);
            }
        } catch (IOException | IllegalArgumentException e) {
            // The checksum matches, but the payload is not valid in this format version.
            state = Segment.State.DAMAGED;
            reason = String.valueOf(e.getMessage());
        }
        return new SegmentSummary(
                name,
                state,
                contents.boot(),
                contents.number(),
                contents.firstEntry(),
                counter.count,
                bytes.length,
                reason);
    }

    /** Returns whether no entries are missing between the previous segment and a segment. */
    private static boolean continues(Segment.Contents contents, SegmentSummary previous) {
        if (contents.number() == 0 && contents.boot() != 0) {
            return true;
        }
        return previous != null
                && previous.boot() == contents.boot()
                && previous.state() == Segment.State.WHOLE
                && previous.number() + 1 == contents.number();
    }

    private static final class CountingConsumer implements Consumer<Entry> {

        private final Consumer<Entry> consumer;
        private long count;

        CountingConsumer(Consumer<Entry> consumer) {
            this.consumer = consumer;
        }

        @Override
        public void accept(Entry entry) {
            count++;
            consumer.accept(entry);
        }
    }
}
