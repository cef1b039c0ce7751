package ashlink.capture.log;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Layout of a segment file: a header, followed by frames that consist of a length, a checksum and a
 * payload. docs/capture-format.md specifies the format.
 */
public final class Segment {

    private static final String FILE_SUFFIX = ".seg";
    static final int MAGIC = 0x41534c43;
    static final int VERSION = 1;

    /** Size of the magic number, version, boot, number, first entry, reserved word and checksum. */
    static final int HEADER_BYTES = 36;

    /** Size of the length and the checksum of a frame. */
    static final int FRAME_BYTES = 8;

    /** Maximum payload size of a frame that a reader accepts. */
    public static final int MAX_FRAME_BYTES = 16 << 20;

    /** First byte of the input of a frame checksum, before the length and the payload. */
    private static final int FRAME_CHECKSUM_SEED = 0x5a;

    /** Result of reading a segment. */
    public enum State {
        /** The segment was read to its end. */
        WHOLE,
        /** The header or the last frame is incomplete, as after an interrupted write. */
        TORN,
        /** The segment contains bytes that differ from the written bytes. */
        DAMAGED
    }

    /**
     * Content of a segment.
     *
     * @param state result of reading the segment
     * @param boot identifier of the router start that wrote the segment
     * @param number index of the segment among the segments of this router start, from 0
     * @param firstEntry index of the first entry of the segment among the entries of this start
     * @param frames payloads of the intact frames, in order
     * @param intactBytes length of the intact part in bytes
     * @param reason cause of a state other than {@link State#WHOLE}; empty otherwise
     */
    public record Contents(
            State state,
            long boot,
            int number,
            long firstEntry,
            List<byte[]> frames,
            int intactBytes,
            String reason) {}

    private Segment() {}

    /** Returns the file name of a segment; the sort order of names is the order of writing. */
    public static String name(long boot, int number) {
        return String.format("%016x-%08d" + FILE_SUFFIX, boot, number);
    }

    /** Returns whether a file is a segment, judged by its name. */
    public static boolean isSegment(String fileName) {
        return fileName.endsWith(FILE_SUFFIX);
    }

    static byte[] header(long boot, int number, long firstEntry) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES);
        buffer.putInt(MAGIC)
                .putInt(VERSION)
                .putLong(boot)
                .putInt(number)
                .putLong(firstEntry)
                .putInt(0);
        buffer.putInt(headerChecksum(buffer.array()));
        return buffer.array();
    }

    static byte[] frame(byte[] payload, int length) {
        ByteBuffer buffer = ByteBuffer.allocate(FRAME_BYTES + length);
        buffer.putInt(length).putInt(frameChecksum(payload, 0, length)).put(payload, 0, length);
        return buffer.array();
    }

    /** Computes the checksum of a header over all bytes except the four checksum bytes. */
    static int headerChecksum(byte[] header) {
        CRC32C crc = new CRC32C();
        crc.update(header, 0, HEADER_BYTES - Integer.BYTES);
        return (int) crc.getValue();
    }

    /**
     * Computes the checksum of a frame over its length and payload. The length is included so that
     * zeros, which a file system may leave behind after a crash, are never a valid frame.
     */
    static int frameChecksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(FRAME_CHECKSUM_SEED);
        crc.update(length >>> 24);
        crc.update(length >>> 16);
        crc.update(length >>> 8);
        crc.update(length);
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /** Parses a segment up to its end or the first error. */
    public static Contents read(byte[] bytes) {
        return new SegmentParser(bytes).parse();
    }
}
