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
 * Writes a part of a capture as a capture of its own. A part that begins with a start can be
 * replayed. Another begins with the last start before it and a gap, and can only be read: a
 * decision module cannot be created in the middle. Not safe for use by several threads.
 */
public final class CaptureSlice implements Consumer<Entry>, AutoCloseable {

    private static final long SEGMENT_BYTES = 64L << 20;
    private static final long FRAME_BYTES = 32 << 10;

    private final long firstIndex;
    private final long maxCount;
    private final SegmentWriter log;

    /** The keys of a capture are hidden already. */
    private final EntryWriter writer = new EntryWriter(UnaryOperator.identity());

    /** The last start before the part, or null. */
    private Entry start;

    private long nextIndex;
    private long skippedSinceStart;
    private long written;
    private boolean frameOpen;

    /**
     * A part of a capture.
     *
     * @param to directory without a capture, which receives the part
     * @param boot identifier of the start of the router, for the names of the segments
     * @param from index of the first entry, from 0
     * @param count largest number of entries
     * @throws IOException if the directory has a capture
     */
    public CaptureSlice(Disk to, long boot, long from, long count) throws IOException {
        if (to.list().stream().anyMatch(Segment::isSegment)) {
            throw new IOException("there is a capture in that folder already");
        }
        this.firstIndex = from;
        this.maxCount = count;
        this.log = new SegmentWriter(to, boot, SEGMENT_BYTES, Long.MAX_VALUE);
    }

    /** Takes the next entry of the capture, whether or not it belongs to the part. */
    @Override
    public void accept(Entry entry) {
        long index = nextIndex++;
        if (index < firstIndex) {
            skip(entry);
        } else if (index - firstIndex < maxCount) {
            if (written == 0 && start != null && !(entry instanceof Entry.Start)) {
                writePrologue();
            }
            write(entry);
        }
    }

    private void skip(Entry entry) {
        if (entry instanceof Entry.Start) {
            start = entry;
            skippedSinceStart = 0;
        } else {
            skippedSinceStart++;
        }
    }

    private void writePrologue() {
        write(start);
        if (skippedSinceStart > 0) {
            write(new Entry.Gap(skippedSinceStart));
        }
    }

    /** Returns the number of entries written, including a start and a gap put before the part. */
    public long written() {
        return written;
    }

    private void write(Entry entry) {
        try {
            if (!frameOpen) {
                writer.startFrame(log.startsSegment());
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
            log.append(writer.bytes(), writer.size(), written);
            frameOpen = false;
        }
    }

    @Override
    public void close() throws IOException {
        flush();
        log.close();
    }
}
