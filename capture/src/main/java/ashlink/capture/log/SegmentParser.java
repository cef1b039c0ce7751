package ashlink.capture.log;

import ashlink.capture.log.Segment.Contents;
import ashlink.capture.log.Segment.State;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Parses the bytes of one segment up to the end or the first error. */
final class SegmentParser {

    private final byte[] bytes;
    private final ByteBuffer buffer;
    private final List<byte[]> frames = new ArrayList<>();
    private long boot;
    private int number;
    private long firstEntry;
    private int position;

    SegmentParser(byte[] bytes) {
        this.bytes = bytes;
        this.buffer = ByteBuffer.wrap(bytes);
    }

    Contents parse() {
        if (bytes.length < Segment.HEADER_BYTES) {
            return contents(
                    State.TORN,
                    "truncated segment header: %d of %d bytes"
                            .formatted(bytes.length, Segment.HEADER_BYTES));
        }
        if (!readHeader()) {
            return contents(
                    State.DAMAGED,
                    "invalid segment header: expected a valid checksum and format version "
                            + Segment.VERSION);
        }
        while (position < bytes.length) {
            Contents error = readFrame();
            if (error != null) {
                return error;
            }
        }
        return contents(State.WHOLE, "");
    }

    private boolean readHeader() {
        int checksum = buffer.getInt(Segment.HEADER_BYTES - Integer.BYTES);
        if (Segment.headerChecksum(bytes) != checksum
                || buffer.getInt() != Segment.MAGIC
                || buffer.getInt() != Segment.VERSION) {
            return false;
        }
        boot = buffer.getLong();
        number = buffer.getInt();
        firstEntry = buffer.getLong();
        position = Segment.HEADER_BYTES;
        return true;
    }

    /** Reads the frame at the current position; returns null, or the final result on an error. */
    private Contents readFrame() {
        int remaining = bytes.length - position;
        if (remaining < Segment.FRAME_BYTES) {
            return contents(
                    State.TORN,
                    "truncated frame header at byte %d: %d of %d bytes"
                            .formatted(position, remaining, Segment.FRAME_BYTES));
        }
        int length = buffer.getInt(position);
        if (length <= 0 || length > Segment.MAX_FRAME_BYTES) {
            return contents(
                    State.DAMAGED,
                    "invalid frame length %d at byte %d: expected 1 to %d"
                            .formatted(length, position, Segment.MAX_FRAME_BYTES));
        }
        if (remaining - Segment.FRAME_BYTES < length) {
            return contents(
                    State.TORN,
                    "truncated frame payload at byte %d: %d of %d bytes"
                            .formatted(position, remaining - Segment.FRAME_BYTES, length));
        }
        int payload = position + Segment.FRAME_BYTES;
        int checksum = buffer.getInt(position + Integer.BYTES);
        if (Segment.frameChecksum(bytes, payload, length) != checksum) {
            boolean last = payload + length == bytes.length;
            return contents(
                    last ? State.TORN : State.DAMAGED,
                    "frame checksum mismatch at byte " + position);
        }
        frames.add(Arrays.copyOfRange(bytes, payload, payload + length));
        position = payload + length;
        return null;
    }

    private Contents contents(State state, String reason) {
        return new Contents(state, boot, number, firstEntry, frames, position, reason);
    }
}
