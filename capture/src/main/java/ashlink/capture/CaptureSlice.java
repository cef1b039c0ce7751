package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.events.EntryWriter;
import ashlink.capture.log.Disk;
import ashlink.capture.log.SegmentWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;

/**
 * Writes a part of a capture as a capture of its own. A part from the start of a router on replays
 * as the whole does; one that begins later begins with that start and a gap, and is for reading
 * only: the module gives no state to begin from.
 */
public final class CaptureSlice implements Consumer<Entry>, AutoCloseable {

    private static final long SEGMENT_BYTES = 64L << 20;
    private static final long FRAME_BYTES = 32 << 10;

    private final long from;
    private final long count;
    private final SegmentWriter log;
    private final EntryWriter writer =
            new EntryWriter(k -> k); // keys were hashed when they were captured
    private Entry start;
    private long seen;
    private long missed;
    private long written;
    private boolean open;

    /**
     * A part of {@code count} entries at most, from number {@code from} on, into an empty folder.
     */
    public CaptureSlice(Disk to, long boot, long from, long count) throws IOException {
        if (to.list().stream().anyMatch(text -> text.endsWith(".seg"))) {
            throw new IOException("there is a capture in that folder already");
        }
        this.from = from;
        this.count = count;
        this.log = new SegmentWriter(to, boot, SEGMENT_BYTES, Long.MAX_VALUE);
    }

    /** Takes the next entry of the whole. */
    @Override
    public void accept(Entry entry) {
        long n = seen++;
        if (n < from) {
            start = entry instanceof Entry.Start ? entry : start;
            missed = entry instanceof Entry.Start ? 0 : missed + 1;
        } else if (n - from < count) {
            if (written == 0 && start != null && !(entry instanceof Entry.Start)) {
                write(start);
                if (missed > 0) {
                    write(new Entry.Gap(missed));
                }
            }
            write(entry);
        }
    }

    /** Entries written, with what was put before them. */
    public long written() {
        return written;
    }

    private void write(Entry entry) {
        try {
            if (!open) {
                writer.startFrame(log.startsSegment());
                open = true;
            }
            writer.write(entry);
            written++;
            if (writer.size() >= FRAME_BYTES) {
                flush();
            }
        } catch (IOException x) {
            throw new UncheckedIOException(x);
        }
    }

    private void flush() throws IOException {
        if (open) {
            log.append(writer.bytes(), writer.size(), written);
            open = false;
        }
    }

    @Override
    public void close() throws IOException {
        flush();
        log.close();
    }
}
