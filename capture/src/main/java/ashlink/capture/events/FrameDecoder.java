package ashlink.capture.events;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the values that {@link FrameEncoder} encoded. The reading methods throw {@link
 * IOException} for bytes that are not a valid encoding. Not thread-safe.
 */
final class FrameDecoder {

    private static final int BYTE_MASK = 0xff;

    private byte[] bytes = new byte[0];
    private int position;
    private final List<String> texts = new ArrayList<>();
    private long lastStepNs;
    private long lastQueryId;

    void startFrame(byte[] frame) {
        bytes = frame;
        position = 0;
    }

    /** Clears the state that earlier frames left behind. */
    void startSegment() {
        texts.clear();
        lastStepNs = 0;
        lastQueryId = 0;
    }

    boolean hasRemaining() {
        return position < bytes.length;
    }

    /** Reads an unsigned byte. */
    int readByte() throws IOException {
        if (position >= bytes.length) {
            throw new IOException(
                    "truncated entry at the end of a frame of " + bytes.length + " bytes");
        }
        return bytes[position++] & BYTE_MASK;
    }

    /** Reads an unsigned varint. */
    long readUnsigned() throws IOException {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += Varint.PAYLOAD_BITS) {
            int next = readByte();
            value |= (next & Varint.PAYLOAD_MASK) << shift;
            if (next < Varint.CONTINUATION_BIT) {
                return value;
            }
        }
        throw new IOException(
                "invalid varint before byte " + position + " of a frame: longer than 10 bytes");
    }

    /** Reads an unsigned varint that is at most {@code max}. */
    int readCount(int max) throws IOException {
        long value = readUnsigned();
        if (value < 0 || value > max) {
            throw new IOException(
                    "invalid count " + Long.toUnsignedString(value) + ": at most " + max);
        }
        return (int) value;
    }

    /** Reads a signed varint in zigzag encoding. */
    long readSigned() throws IOException {
        long value = readUnsigned();
        return value >>> 1 ^ -(value & 1);
    }

    /** Reads a double in one of the encodings of {@link DoubleEncoding}. */
    double readDouble() throws IOException {
        int encoding = readByte();
        if (encoding == DoubleEncoding.NAN) {
            return Double.NaN;
        }
        if (encoding == DoubleEncoding.INTEGER) {
            return readUnsigned();
        }
        long bits = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            bits |= (long) readByte() << Byte.SIZE * i;
        }
        return Double.longBitsToDouble(bits);
    }

    boolean readFlag() throws IOException {
        return readByte() != 0;
    }

    /** Reads a text or null; a text that is new in the segment follows its number. */
    String readText() throws IOException {
        int number = readCount(Integer.MAX_VALUE - 1);
        if (number == 0) {
            return null;
        }
        if (number <= texts.size()) {
            return texts.get(number - 1);
        }
        if (number != texts.size() + 1) {
            throw new IOException(
                    "invalid text number " + number + ": at most " + (texts.size() + 1));
        }
        int length = readCount(bytes.length - position);
        String text = new String(bytes, position, length, StandardCharsets.UTF_8);
        position += length;
        texts.add(text);
        return text;
    }

    /** Reads a constant of an enum by its ordinal. */
    <E extends Enum<E>> E readEnum(E[] constants) throws IOException {
        return constants[readCount(constants.length - 1)];
    }

    /** Reads the time of a step in nanoseconds, stored relative to the previous step. */
    long readStepTime() throws IOException {
        lastStepNs += readSigned();
        return lastStepNs;
    }

    /** Reads a time in nanoseconds, stored relative to the time of the current step. */
    long readTime() throws IOException {
        return readSigned() + lastStepNs;
    }

    /** Reads a query identifier, stored relative to the previous query identifier. */
    long readQueryId() throws IOException {
        lastQueryId += readSigned();
        return lastQueryId;
    }
}
