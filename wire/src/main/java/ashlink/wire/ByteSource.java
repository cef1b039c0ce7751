package ashlink.wire;

import java.io.EOFException;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Reads protocol values from a buffer that a subclass fills. Invalid input throws a {@link
 * WireException}. Not thread-safe.
 */
public abstract class ByteSource {

    private static final VarHandle INT =
            MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.LITTLE_ENDIAN);
    private static final VarHandle LONG =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);
    private static final int MAX_VAR_INT_BYTES = 10;

    /** Array that holds the unread bytes, from {@code pos} to {@code end}. */
    protected byte[] buffer;

    /** Index of the next byte to read. */
    protected int pos;

    /** Index after the last buffered byte. */
    protected int end;

    /** Creates a source with the given array and no buffered bytes. */
    protected ByteSource(byte[] buffer) {
        this.buffer = buffer;
    }

    /**
     * Replaces the buffered bytes, all of which have been read, with at least one new byte; returns
     * false at the end of the stream.
     */
    protected abstract boolean refill() throws IOException;

    private void refillOrFail() throws IOException {
        if (!refill()) {
            throw new WireException(
                    WireException.Reason.TRUNCATED, "unexpected end of stream within a value");
        }
    }

    /** Reads one byte as a number from 0 to 255. */
    public final int readByte() throws IOException {
        if (pos == end) {
            refillOrFail();
        }
        return buffer[pos++] & 0xff;
    }

    /** Reads one byte as a number from 0 to 255; returns -1 at the end of the stream. */
    public final int readByteOrEnd() throws IOException {
        if (pos == end && !refill()) {
            return -1;
        }
        return buffer[pos++] & 0xff;
    }

    /** Returns true if a byte can be read without blocking. */
    public final boolean hasBuffered() {
        return pos < end;
    }

    /** Reads a Boolean value; any byte other than 0 and 1 is malformed. */
    public final boolean readFlag() throws IOException {
        int flag = readByte();
        if (flag > 1) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "invalid Boolean value " + flag + ": expected 0 or 1");
        }
        return flag == 1;
    }

    /** Reads an unsigned integer of variable length, up to 2^63 - 1. */
    public final long readVarUInt() throws IOException {
        long value = 0;
        for (int i = 0; i < MAX_VAR_INT_BYTES; i++) {
            int next = readByte();
            value |= (long) (next & 0x7f) << (7 * i);
            if (next < 0x80) {
                if (value < 0 || i == MAX_VAR_INT_BYTES - 1 && next > 0) {
                    throw new WireException(
                            WireException.Reason.TOO_LARGE,
                            "invalid variable-length integer: at most 2^63 - 1");
                }
                return value;
            }
        }
        throw new WireException(
                WireException.Reason.MALFORMED,
                "invalid variable-length integer: at most " + MAX_VAR_INT_BYTES + " bytes");
    }

    /**
     * Reads an unsigned integer of variable length that must be at most {@code max}; {@code
     * description} names the value in the error message.
     */
    public final long readCount(String description, long max) throws IOException {
        long value = readVarUInt();
        if (value > max) {
            throw new WireException(
                    WireException.Reason.TOO_LARGE,
                    "invalid " + description + " " + value + ": at most " + max);
        }
        return value;
    }

    /** Reads a two-byte integer in little-endian order as a number from 0 to 65535. */
    final int readUnsignedShort() throws IOException {
        return readByte() | readByte() << 8;
    }

    /** Reads a four-byte integer in little-endian order. */
    public final int readInt() throws IOException {
        if (end - pos >= Integer.BYTES) {
            int value = (int) INT.get(buffer, pos);
            pos += Integer.BYTES;
            return value;
        }
        return readByte() | readByte() << 8 | readByte() << 16 | readByte() << 24;
    }

    /** Reads an eight-byte integer in little-endian order. */
    public final long readLong() throws IOException {
        if (end - pos >= Long.BYTES) {
            long value = (long) LONG.get(buffer, pos);
            pos += Long.BYTES;
            return value;
        }
        return readInt() & 0xffffffffL | (long) readInt() << 32;
    }

    /**
     * Reads a byte sequence with a length prefix. The array is allocated from the received length,
     * so {@code maxBytes} bounds the memory.
     */
    public final byte[] readBytes(String description, int maxBytes) throws IOException {
        byte[] bytes = new byte[(int) readCount("length of " + description, maxBytes)];
        readFully(bytes, 0, bytes.length);
        return bytes;
    }

    /**
     * Reads a string with a length prefix; bytes that are not valid UTF-8 become the replacement
     * character.
     */
    public final String readString(String description, int maxBytes) throws IOException {
        int length = (int) readCount("length of " + description, maxBytes);
        if (end - pos >= length) {
            String text = new String(buffer, pos, length, StandardCharsets.UTF_8);
            pos += length;
            return text;
        }
        byte[] bytes = new byte[length];
        readFully(bytes, 0, length);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Reads exactly {@code length} bytes. */
    public final void readFully(byte[] into, int from, int length) throws IOException {
        int done = 0;
        while (done < length) {
            if (pos == end) {
                refillOrFail();
            }
            int count = Math.min(length - done, end - pos);
            System.arraycopy(buffer, pos, into, from + done, count);
            pos += count;
            done += count;
        }
    }

    /** Skips exactly {@code length} bytes. */
    public final void skip(long length) throws IOException {
        long remaining = length;
        while (remaining > 0) {
            if (pos == end) {
                refillOrFail();
            }
            int count = (int) Math.min(remaining, end - pos);
            pos += count;
            remaining -= count;
        }
    }

    /** Skips the given number of strings, each with a length prefix. */
    public final void skipStrings(long count, long maxEachBytes) throws IOException {
        for (long i = 0; i < count; i++) {
            if (pos < end && buffer[pos] >= 0 && end - pos > buffer[pos]) {
                // A short string that is fully buffered is skipped without further calls.
                pos += 1 + buffer[pos];
            } else {
                skip(readCount("length of a string in a column", maxEachBytes));
            }
        }
    }

    /** Returns the exception for a stream that ends between packets. */
    public static EOFException ended() {
        return new EOFException("connection closed by peer");
    }
}
