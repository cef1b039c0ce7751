package ashlink.capture.log;

import java.io.IOException;
import java.util.List;

/**
 * Writes frames to segments and deletes the oldest segments above a total size. After any error,
 * the current segment is abandoned: frames appended since the last sync may be lost, and the next
 * frame starts a new segment. Not thread-safe.
 */
public final class SegmentWriter implements AutoCloseable {

    private final Disk disk;
    private final long boot;
    private final long segmentBytes;
    private final long retainedBytes;

    /** Current segment, or null if the next frame starts a new segment. */
    private Disk.Appender segment;

    private String segmentName = "";
    private int nextNumber;
    private long segmentSizeBytes;

    /**
     * Creates a writer of the segments of one router start.
     *
     * @param boot identifier of the router start, larger than the identifiers of earlier starts
     * @param segmentBytes size at which a segment is closed
     * @param retainedBytes total size above which the oldest segments are deleted
     */
    public SegmentWriter(Disk disk, long boot, long segmentBytes, long retainedBytes) {
        this.disk = disk;
        this.boot = boot;
        this.segmentBytes = segmentBytes;
        this.retainedBytes = retainedBytes;
    }

    /** Returns whether the next frame starts a segment and must not depend on earlier frames. */
    public boolean startsSegment() {
        return segment == null || segmentSizeBytes >= segmentBytes;
    }

    /**
     * Appends a frame with the first {@code length} bytes of {@code payload}.
     *
     * @param firstEntry index of the first entry of the frame among the entries of this start
     */
    public void append(byte[] payload, int length, long firstEntry) throws IOException {
        try {
            if (startsSegment()) {
                startSegment(firstEntry);
            }
            byte[] frame = Segment.frame(payload, length);
            segment.append(frame, 0, frame.length);
            segmentSizeBytes += frame.length;
        } catch (IOException e) {
            abandonSegment(e);
            throw e;
        }
    }

    private void startSegment(long firstEntry) throws IOException {
        if (segment != null) {
            segment.sync();
            segment.close();
            segment = null;
        }
        int number = nextNumber++;
        segmentName = Segment.name(boot, number);
        segment = disk.create(segmentName);
        byte[] header = Segment.header(boot, number, firstEntry);
        segment.append(header, 0, header.length);
        segmentSizeBytes = header.length;
        deleteOldSegments();
    }

    /** Forces all appended frames to disk. */
    public void sync() throws IOException {
        try {
            if (segment != null) {
                segment.sync();
            }
        } catch (IOException e) {
            abandonSegment(e);
            throw e;
        }
    }

    private void abandonSegment(IOException cause) {
        if (segment == null) {
            return;
        }
        try {
            segment.close();
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
        segment = null;
    }

    /** Deletes the oldest segments above the total size, but never the current segment. */
    private void deleteOldSegments() throws IOException {
        List<String> names = disk.list().stream().filter(Segment::isSegment).toList();
        long totalBytes = 0;
        for (String name : names) {
            totalBytes += disk.size(name);
        }
        for (String name : names) {
            if (totalBytes <= retainedBytes || name.equals(segmentName)) {
                return;
            }
            totalBytes -= disk.size(name);
            disk.delete(name);
        }
    }

    @Override
    public void close() throws IOException {
        if (segment != null) {
            sync();
            segment.close();
            segment = null;
        }
    }
}
