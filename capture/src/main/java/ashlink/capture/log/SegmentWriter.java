package ashlink.capture.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes frames into segments, and removes the oldest segments past the limit of bytes. After any
 * error the segment in hand is given up: what was appended to it since the last sync is not
 * believed, and the next frame starts another.
 */
public final class SegmentWriter implements AutoCloseable {

    private final Disk disk;
    private final long boot;
    private final long segmentBytes;
    private final long keptBytes;
    private Disk.Appender out;
    private String name = "";
    private int number;
    private long size;

    /** A writer of one start of a router. */
    public SegmentWriter(Disk disk, long boot, long segmentBytes, long keptBytes) {
        this.disk = disk;
        this.boot = boot;
        this.segmentBytes = segmentBytes;
        this.keptBytes = keptBytes;
    }

    /** True where the next frame starts a segment: it must not lean on what earlier ones said. */
    public boolean startsSegment() {
        return out == null || size >= segmentBytes;
    }

    /** Appends a frame; {@code firstEntry} is the number of its first entry. */
    public void append(byte[] payload, int length, long firstEntry) throws IOException {
        try {
            if (startsSegment()) {
                next(firstEntry);
            }
            byte[] frame = Segment.frame(payload, length);
            out.append(frame, 0, frame.length);
            size += frame.length;
        } catch (IOException e) {
            giveUp();
            throw e;
        }
    }

    private void next(long firstEntry) throws IOException {
        if (out != null) {
            out.sync();
            out.close();
            out = null;
        }
        name = Segment.name(boot, number++);
        out = disk.create(name);
        byte[] header = Segment.header(boot, number - 1, firstEntry);
        out.append(header, 0, header.length);
        size = header.length;
        retire();
    }

    /** Returns once all frames are on the disk. */
    public void sync() throws IOException {
        try {
            if (out != null) {
                out.sync();
            }
        } catch (IOException e) {
            giveUp();
            throw e;
        }
    }

    private void giveUp() {
        if (out != null) {
            try {
                out.close();
            } catch (IOException e) {
                // given up all the same
            }
            out = null;
        }
    }

    /** Removes the oldest segments while there are too many bytes; never the one in hand. */
    private void retire() throws IOException {
        List<String> segments = new ArrayList<>(disk.list());
        segments.removeIf(n -> !n.endsWith(".seg"));
        long total = 0;
        for (String s : segments) {
            total += disk.size(s);
        }
        for (String s : segments) {
            if (total <= keptBytes || s.equals(name)) {
                return;
            }
            total -= disk.size(s);
            disk.delete(s);
        }
    }

    @Override
    public void close() throws IOException {
        if (out != null) {
            sync();
            out.close();
            out = null;
        }
    }
}
