package ashlink.capture.log;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment: a header of 36 bytes (magic, version, boot, number of the segment, first
 * entry, checksum), then frames: length, checksum (CRC32C) of length and payload, payload.
 * docs/capture-format.md has the layout.
 */
public final class Segment {

    static final int MAGIC = 0x41534c43;
    static final int VERSION = 1;
    static final int HEADER_BYTES = 36;
    static final int FRAME_BYTES = 8;

    /** The largest frame: a writer cuts before it. */
    public static final int MOST_FRAME_BYTES = 16 << 20;

    /** How the reading of a segment ended. */
    public enum State {
        /** At its end. */
        WHOLE,
        /** Within a frame or the header, with nothing after: the writer died there. */
        TORN,
        /** At bytes that are not what was written. */
        DAMAGED
    }

    /** What is in a segment; frames up to {@code readTo} are as they were written. */
    public record Contents(
            State state,
            long boot,
            int number,
            long firstEntry,
            List<byte[]> frames,
            int readTo,
            String why) {}

    private Segment() {}

    /** The name of a segment's file; names sort in the order of writing. */
    public static String name(long boot, int number) {
        return String.format("%016x-%08d.seg", boot, number);
    }

    static byte[] header(long boot, int number, long firstEntry) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES);
        buffer.putInt(MAGIC)
                .putInt(VERSION)
                .putLong(boot)
                .putInt(number)
                .putLong(firstEntry)
                .putInt(0);
        buffer.putInt(checksum(buffer.array(), 0, HEADER_BYTES - 4));
        return buffer.array();
    }

    static byte[] frame(byte[] payload, int length) {
        ByteBuffer buffer = ByteBuffer.allocate(FRAME_BYTES + length);
        buffer.putInt(length).putInt(frameSum(payload, 0, length)).put(payload, 0, length);
        return buffer.array();
    }

    /** The sum covers the length too: zeros, which a file system may leave behind, are no frame. */
    private static int frameSum(byte[] payload, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(0x5a);
        crc.update(length >>> 24);
        crc.update(length >>> 16);
        crc.update(length >>> 8);
        crc.update(length);
        crc.update(payload, from, length);
        return (int) crc.getValue();
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** Reads the bytes of a segment as far as they are whole. */
    public static Contents read(byte[] bytes) {
        List<byte[]> frames = new ArrayList<>();
        if (bytes.length < HEADER_BYTES) {
            return new Contents(State.TORN, 0, 0, 0, frames, 0, "the header ends early");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (checksum(bytes, 0, HEADER_BYTES - 4) != buffer.getInt(HEADER_BYTES - 4)
                || buffer.getInt() != MAGIC
                || buffer.getInt() != VERSION) {
            return new Contents(
                    State.DAMAGED,
                    0,
                    0,
                    0,
                    frames,
                    0,
                    "the header is no capture's of version " + VERSION);
        }
        long boot = buffer.getLong();
        int number = buffer.getInt();
        long first = buffer.getLong();
        int pos = HEADER_BYTES;
        while (pos < bytes.length) {
            int left = bytes.length - pos;
            if (left < FRAME_BYTES) {
                return new Contents(
                        State.TORN, boot, number, first, frames, pos, "a frame's head ends early");
            }
            int length = buffer.getInt(pos);
            if (length <= 0 || length > MOST_FRAME_BYTES) {
                return new Contents(
                        State.DAMAGED,
                        boot,
                        number,
                        first,
                        frames,
                        pos,
                        "a frame says that it has " + length + " bytes");
            }
            if (left - FRAME_BYTES < length) {
                return new Contents(
                        State.TORN, boot, number, first, frames, pos, "a frame ends early");
            }
            if (frameSum(bytes, pos + FRAME_BYTES, length) != buffer.getInt(pos + 4)) {
                boolean last = left - FRAME_BYTES == length;
                return new Contents(
                        last ? State.TORN : State.DAMAGED,
                        boot,
                        number,
                        first,
                        frames,
                        pos,
                        "the checksum of a frame is wrong");
            }
            frames.add(
                    java.util.Arrays.copyOfRange(
                            bytes, pos + FRAME_BYTES, pos + FRAME_BYTES + length));
            pos += FRAME_BYTES + length;
        }
        return new Contents(State.WHOLE, boot, number, first, frames, pos, "");
    }
}
