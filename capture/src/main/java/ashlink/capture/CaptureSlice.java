package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.events.EntryWriter;
import ashlink.capture.log.Disk;
import ashlink.capture.log.Segment;
import ashlink.capture.log.SegmentWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Writes a range of the entries of a capture as a separate capture. A slice whose first entry is a
 * start can be replayed. Any other slice is preceded by the last start before it and a gap; such a
 * slice can be read but not replayed, because the state of a decision module cannot be
 * reconstructed in the middle of its run. Not thread-safe.
 */
public final class CaptureSlice implements Consumer<Entry>, AutoCloseable {

    private static final long SEGMENT_BYTES = 64L << 20;
    private static final long FRAME_BYTES = 32 << 10;

    private final long firstIndex;
    private final long maxCount;
    private final SegmentWriter segmentWriter;

    /** Stores keys unchanged: the keys of the source capture are already masked. */
    private final EntryWriter writer = new EntryWriter(UnaryOperator.identity());

    /** Last start before the slice, or null. */
    private Entry lastStart;

    private long nextIndex;
    private long skippedSinceStart;
    private long written;
    private boolean frameOpen;

    /**
     * Creates a slice of up to {@code maxCount} entries.
     *
     * @param target directory, which must not contain a capture
     * @param boot identifier of the router start, used in the names of the segments
     * @param firstIndex index of the first entry, from 0
     * @param maxCount maximum number of entries
     * @throws IOException if the target directory already contains a capture
     */
    public CaptureSlice(Disk target, long boot, long firstIndex, long maxCount) throws IOException {
        if (target.list().stream().anyMatch(Segment::isSegment)) {
            throw new IOException(
                    "target directory already contains a capture: expected no segment files");
        }
        this.firstIndex = firstIndex;
        this.maxCount = maxCount;
        this.segmentWriter = new SegmentWriter(target, boot, SEGMENT_BYTES, Long.MAX_VALUE);
    }

    /** Receives the next entry of the source capture, inside or outside the slice. */
    @Override
    public void accept(Entry entry) {
        long index = nextIndex++;
        if (index < firstIndex) {
            skip(entry);
        } else if (index - firstIndex < maxCount) {
            if (written == 0 && lastStart != null && !(entry instanceof Entry.Start)) {
                writePrologue();
            }
            write(entry);
        }
    }

    private void skip(Entry entry) {
        if (entry instanceof Entry.Start) {
            lastStart = entry;
            skippedSinceStart = 0;
        } else {
            skippedSinceStart++;
        }
    }

    private void writePrologue() {
        write(lastStart);
        if (skippedSinceStart > 0) {
            write(new Entry.Gap(skippedSinceStart));
        }
    }

    /** Returns the number of written entries, including the start and gap before the slice. */
    public long written() {
        return written;
    }

    private void write(Entry entry) {
        try {
            if (!frameOpen) {
                writer.startFrame(segmentWriter.startsSegment());
                frameOpen = true;
            }
            writer.write(entry);
            written++;
            if (writer.size() >= FRAME_BYTES) {
                flush();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void flush() throws IOException {
        if (frameOpen) {
            segmentWriter.append(writer.bytes(), writer.size(), written);
            frameOpen = false;
        }
    }

    @Override
    public void close() throws IOException {
        flush();
        segmentWriter.close();
    }
}
