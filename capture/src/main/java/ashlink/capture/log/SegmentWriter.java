package ashlink.capture.log;

import java.io.IOException;
import java.util.List;

/**
 * Writes frames into segments, and deletes the oldest segments beyond a total size. After any error
 * the current segment is abandoned: frames that were appended to it since the last sync may be
 * lost, and the next frame starts another segment. Not safe for use by several threads.
 */
public final class SegmentWriter implements AutoCloseable {

    private final Disk disk;
    private final long boot;
    private final long segmentBytes;
    private final long retainedBytes;

    /** The current segment, or null where the next frame starts one. */
    private Disk.Appender segment;

    private String segmentName = "";
    private int nextNumber;
    private long segmentSizeBytes;

    /**
     * A writer of one start of a router.
     *
     * @param boot identifier of the start; larger than those of earlier starts
     * @param segmentBytes size at which a segment is closed
     * @param keptBytes total size beyond which the oldest segments are deleted
     */
    public SegmentWriter(Disk disk, long boot, long segmentBytes, long keptBytes) {
        this.disk = disk;
        this.boot = boot;
        this.segmentBytes = segmentBytes;
        this.retainedBytes = keptBytes;
    }

    /** Tells whether the next frame starts a segment; it must not refer to earlier frames then. */
    public boolean startsSegment() {
        return segment == null || segmentSizeBytes >= segmentBytes;
    }

    /**
     * Appends a frame of the first {@code length} bytes of {@code payload}.
     *
     * @param firstEntry number of the first entry of the frame
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

    /** Returns once all frames are on the disk. */
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

    /** Deletes the oldest segments while they are too large together, never the current one. */
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
