package ashlink.capture.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Change log of a table: one record per change; later records override earlier records. {@link
 * #rewrite} compacts the log to the current records of the table. A crash during compaction leaves
 * the records of both logs, which still represent the same table. Not thread-safe.
 */
public final class KeyValueLog implements AutoCloseable {

    /** Receives the records of the log. */
    public interface Reader {
        /**
         * Handles a record.
         *
         * @throws IOException if the record is malformed; this stops reading the log
         */
        void read(byte[] record) throws IOException;
    }

    private final Disk disk;
    private final long segmentBytes;

    /** Null until the first {@link #rewrite}. */
    private SegmentWriter segmentWriter;

    private long boot;
    private long written;

    /**
     * Creates a log without reading its records.
     *
     * @param nowMs current time in milliseconds, used in the names of new segments
     */
    public KeyValueLog(Disk disk, long segmentBytes, long nowMs) {
        this.disk = disk;
        this.segmentBytes = segmentBytes;
        this.boot = nowMs;
    }

    /**
     * Reads all records in order; each segment is read up to its first damaged frame.
     *
     * @return names of the damaged segments, each with the reason
     */
    public List<String> read(Reader reader) throws IOException {
        List<String> damaged = new ArrayList<>();
        for (String name : segments()) {
            Segment.Contents contents = Segment.read(disk.read(name));
            if (contents.state() == Segment.State.DAMAGED) {
                damaged.add(name + ": " + contents.reason());
            }
            boot = Math.max(boot, contents.boot() + 1);
            for (byte[] frame : contents.frames()) {
                reader.read(frame);
            }
        }
        return damaged;
    }

    private List<String> segments() throws IOException {
        return disk.list().stream().filter(Segment::isSegment).toList();
    }

    /** Replaces the log with the given records and syncs them before deleting the old segments. */
    public void rewrite(List<byte[]> table) throws IOException {
        List<String> oldSegments = segments();
        if (segmentWriter != null) {
            segmentWriter.close();
        }
        segmentWriter = new SegmentWriter(disk, boot++, segmentBytes, Long.MAX_VALUE);
        written = 0;
        for (byte[] record : table) {
            append(record);
        }
        sync();
        for (String name : oldSegments) {
            disk.delete(name);
        }
    }

    /** Appends a record; {@link #rewrite} must have been called before. */
    public void append(byte[] record) throws IOException {
        segmentWriter.append(record, record.length, written++);
    }

    /**
     * Forces all appended records to disk.
     *
     * @throws IOException if records appended since the last sync may be lost
     */
    public void sync() throws IOException {
        segmentWriter.sync();
    }

    /** Returns the number of records written by the last {@link #rewrite} and after it. */
    public long written() {
        return written;
    }

    @Override
    public void close() throws IOException {
        if (segmentWriter != null) {
            segmentWriter.close();
        }
        disk.close();
    }
}
