package ashlink.capture.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A log that stands for a table: a record for each change. At each start, and when the log has
 * grown far beyond the table, the table is written anew and what was before is removed, once the
 * new is on the disk; a crash between leaves both, and the later records hold. Not for use by
 * several threads at once.
 */
public final class KeyValueLog implements AutoCloseable {

    /** Takes a record as it was written. */
    public interface Reader {
        /** A record that cannot be read ends the reading. */
        void read(byte[] record) throws IOException;
    }

    private final Disk disk;
    private final long segmentBytes;
    private SegmentWriter log;
    private long boot;
    private long written;

    /** A log on that disk, which is not read. */
    public KeyValueLog(Disk disk, long segmentBytes, long nowMs) {
        this.disk = disk;
        this.segmentBytes = segmentBytes;
        this.boot = nowMs;
    }

    /**
     * Reads all records in order, as far as each segment is whole; returns the segments that are
     * damaged, and why.
     */
    public List<String> read(Reader to) throws IOException {
        List<String> damaged = new ArrayList<>();
        for (String name : segments()) {
            Segment.Contents contents = Segment.read(disk.read(name));
            if (contents.state() == Segment.State.DAMAGED) {
                damaged.add(name + ": " + contents.why());
            }
            boot = Math.max(boot, contents.boot() + 1);
            for (byte[] frame : contents.frames()) {
                to.read(frame);
            }
        }
        return damaged;
    }

    private List<String> segments() throws IOException {
        return disk.list().stream().filter(text -> text.endsWith(".seg")).toList();
    }

    /** Writes the table anew; it is on the disk when this returns. */
    public void rewrite(List<byte[]> table) throws IOException {
        List<String> before = segments();
        if (log != null) {
            log.close();
        }
        log = new SegmentWriter(disk, boot++, segmentBytes, Long.MAX_VALUE);
        written = 0;
        for (byte[] record : table) {
            append(record);
        }
        sync();
        for (String name : before) {
            disk.delete(name);
        }
    }

    /** Appends a record. */
    public void append(byte[] record) throws IOException {
        log.append(record, record.length, written++);
    }

    /**
     * Returns once all that was appended is on the disk; after an exception nothing since the last
     * sync is believed to be.
     */
    public void sync() throws IOException {
        log.sync();
    }

    /** Records since the table was written anew, with those of the table. */
    public long written() {
        return written;
    }

    @Override
    public void close() throws IOException {
        if (log != null) {
            log.close();
        }
        disk.close();
    }
}
