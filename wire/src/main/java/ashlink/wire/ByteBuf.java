package ashlink.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Byte buffer that grows up to a limit, with methods that append protocol values. An append beyond
 * the limit or the quota throws a {@link WireException} with {@code TOO_LARGE}. Not thread-safe.
 */
public final class ByteBuf {

    private static final VarHandle INT =
            MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.LITTLE_ENDIAN);
    private static final VarHandle LONG =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);
    private static final int INITIAL_BYTES = 1024;

    /**
     * Largest array that {@link #clear} retains: one large packet must not occupy memory for the
     * lifetime of a connection.
     */
    private static final int MAX_RETAINED_BYTES = 4 << 20;

    private final long maxBytes;
    private final Quota quota;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int size;

    /** Creates a buffer of at most the given number of bytes. */
    public ByteBuf(long maxBytes) {
        this(maxBytes, Quota.NONE);
    }

    /**
     * Creates a buffer of at most the given number of bytes that reserves its growth from the
     * quota.
     */
    public ByteBuf(long maxBytes, Quota quota) {
        this.maxBytes = Math.min(maxBytes, Integer.MAX_VALUE - 16);
        this.quota = quota;
    }

    /** Creates a buffer without a limit, for data that this program produces. */
    public ByteBuf() {
        this(Integer.MAX_VALUE);
    }

    /** Returns the number of bytes in the buffer. */
    public int size() {
        return size;
    }

    /**
     * Returns the array that holds the bytes, from 0 to {@link #size}. An append may replace the
     * array.
     */
    public byte[] array() {
        return bytes;
    }

    /** Removes all bytes. */
    public void clear() {
        size = 0;
        if (bytes.length > MAX_RETAINED_BYTES) {
            release();
        }
    }

    /** Removes all bytes and returns the memory to the quota. */
    public void release() {
        size = 0;
        quota.release(bytes.length - INITIAL_BYTES);
        bytes = new byte[INITIAL_BYTES];
    }

    /** Truncates the buffer to a smaller size in bytes. */
    public void truncate(int to) {
        size = Math.min(size, to);
    }

    /** Removes the given number of bytes from the front. */
    public void dropFront(int count) {
        System.arraycopy(bytes, count, bytes, 0, size - count);
        size -= count;
    }

    /** Writes all bytes to a stream. */
    public void writeTo(OutputStream out) throws IOException {
        out.write(bytes, 0, size);
    }

    private void ensureCapacity(int additional) throws WireException {
        if ((long) size + additional > maxBytes) {
            throw new WireException(
                    WireException.Reason.TOO_LARGE,
                    "packet exceeds the limit of " + maxBytes + " bytes");
        }
        if (size + additional > bytes.length) {
            int capacity = (int) Math.max(size + additional, Math.min(maxBytes, bytes.length * 2L));
            if (!quota.reserve(capacity - bytes.length)) {
                throw new WireException(
                        WireException.Reason.TOO_LARGE,
                        "memory quota exhausted: cannot reserve "
                                + (capacity - bytes.length)
                                + " bytes");
            }
            bytes = Arrays.copyOf(bytes, capacity);
        }
    }

    /** Appends bytes. */
    public ByteBuf append(byte[] from, int offset, int length) throws WireException {
        ensureCapacity(length);
        System.arraycopy(from, offset, bytes, size, length);
        size += length;
        return this;
    }

    /** Appends a byte. */
    public ByteBuf putByte(int value) throws WireException {
        ensureCapacity(1);
        bytes[size++] = (byte) value;
        return this;
    }

    /** Appends a Boolean value as one byte. */
    public ByteBuf putFlag(boolean value) throws WireException {
        return putByte(value ? 1 : 0);
    }

    /** Appends an unsigned integer of variable length. */
    public ByteBuf putVarUInt(long value) throws WireException {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            putByte((int) (remaining & 0x7f | 0x80));
            remaining >>>= 7;
        }
        return putByte((int) remaining);
    }

    /** Appends a two-byte integer in little-endian order. */
    public ByteBuf putShort(int value) throws WireException {
        return putByte(value).putByte(value >>> 8);
    }

    /** Appends a four-byte integer in little-endian order. */
    public ByteBuf putInt(int value) throws WireException {
        ensureCapacity(Integer.BYTES);
        INT.set(bytes, size, value);
        size += Integer.BYTES;
        return this;
    }

    /** Appends an eight-byte integer in little-endian order. */
    public ByteBuf putLong(long value) throws WireException {
        ensureCapacity(Long.BYTES);
        LONG.set(bytes, size, value);
        size += Long.BYTES;
        return this;
    }

    /** Appends a string with a length prefix. */
    public ByteBuf putString(String value) throws WireException {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        putVarUInt(text.length);
        return append(text, 0, text.length);
    }
}
