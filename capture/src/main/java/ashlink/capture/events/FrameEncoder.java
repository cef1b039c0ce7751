package ashlink.capture.events;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Encodes the values of a frame compactly: integers as varints, times and query identifiers as
 * differences, and each text once per segment. {@link FrameDecoder} is the inverse;
 * docs/capture-format.md specifies the layout. Not thread-safe.
 */
final class FrameEncoder {

    private static final int INITIAL_BYTES = 4096;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int size;
    private final Map<String, Integer> textNumbers = new HashMap<>();
    private long lastStepNs;
    private long lastQueryId;

    /** Returns the buffer, whose first {@link #size()} bytes are the frame. */
    byte[] bytes() {
        return bytes;
    }

    int size() {
        return size;
    }

    void startFrame() {
        size = 0;
    }

    /** Clears the state of earlier frames, so that the new segment can be read on its own. */
    void startSegment() {
        textNumbers.clear();
        lastStepNs = 0;
        lastQueryId = 0;
    }

    /** Writes the least significant byte of a value. */
    void writeByte(int value) {
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * size);
        }
        bytes[size++] = (byte) value;
    }

    /** Writes an unsigned varint. */
    void writeUnsigned(long value) {
        long rest = value;
        while ((rest & ~Varint.PAYLOAD_MASK) != 0) {
            writeByte((int) (rest & Varint.PAYLOAD_MASK | Varint.CONTINUATION_BIT));
            rest >>>= Varint.PAYLOAD_BITS;
        }
        writeByte((int) rest);
    }

    /** Writes a signed varint in zigzag encoding. */
    void writeSigned(long value) {
        writeUnsigned(value << 1 ^ value >> 63);
    }

    /** Writes a double in the shortest of the encodings of {@link DoubleEncoding}. */
    void writeDouble(double value) {
        if (Double.isNaN(value)) {
            writeByte(DoubleEncoding.NAN);
        } else if (isSmallNonNegativeInteger(value)) {
            writeByte(DoubleEncoding.INTEGER);
            writeUnsigned((long) value);
        } else {
            writeByte(DoubleEncoding.BITS);
            long bits = Double.doubleToRawLongBits(value);
            for (int i = 0; i < Long.BYTES; i++) {
                writeByte((int) (bits >>> Byte.SIZE * i));
            }
        }
    }

    private static boolean isSmallNonNegativeInteger(double value) {
        boolean negativeZero = Double.doubleToRawLongBits(value) == 1L << 63;
        return value == Math.rint(value)
                && value >= 0
                && value < DoubleEncoding.INTEGER_LIMIT
                && !negativeZero;
    }

    void writeFlag(boolean value) {
        writeByte(value ? 1 : 0);
    }

    /** Writes an enum constant as its ordinal; stored enums must never be reordered. */
    void writeEnum(Enum<?> value) {
        writeByte(value.ordinal());
    }

    /** Writes 0 for null, else the number of the text in the segment; a new text follows it. */
    void writeText(String value) {
        if (value == null) {
            writeUnsigned(0);
            return;
        }
        Integer knownNumber = textNumbers.get(value);
        if (knownNumber != null) {
            writeUnsigned(knownNumber);
            return;
        }
        int number = textNumbers.size() + 1;
        textNumbers.put(value, number);
        writeUnsigned(number);
        byte[] utf8 = value.getBytes(StandardCharsets.UTF_8);
        writeUnsigned(utf8.length);
        for (byte utf8Byte : utf8) {
            writeByte(utf8Byte);
        }
    }

    /** Writes the time of a step as the difference to the previous step. */
    void writeStepTime(long timeNs) {
        writeSigned(timeNs - lastStepNs);
        lastStepNs = timeNs;
    }

    /** Writes a time as the difference to the time of the current step. */
    void writeTime(long timeNs) {
        writeSigned(timeNs - lastStepNs);
    }

    /** Writes a query identifier as the difference to the previous query identifier. */
    void writeQueryId(long id) {
        writeSigned(id - lastQueryId);
        lastQueryId = id;
    }
}
