package ashlink.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A buffer that grows to a limit, with writers for the protocol's values. */
public final class ByteBuf {

    private static final VarHandle INT =
            MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.LITTLE_ENDIAN);
    private static final VarHandle LONG =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);
    private static final int FIRST_BYTES = 1024;

    /**
     * A buffer that grew beyond this is let go when it is cleared: one large packet must not stay
     * in memory.
     */
    private static final int KEPT_BYTES = 4 << 20;

    private final long mostBytes;
    private final Quota quota;
    private byte[] bytes = new byte[FIRST_BYTES];
    private int size;

    /** A buffer of at most that many bytes. */
    public ByteBuf(long mostBytes) {
        this(mostBytes, Quota.NONE);
    }

    /** A buffer of at most that many bytes, which asks for its memory there as it grows. */
    public ByteBuf(long mostBytes, Quota quota) {
        this.mostBytes = Math.min(mostBytes, Integer.MAX_VALUE - 16);
        this.quota = quota;
    }

    /** A buffer without a limit of its own, for what this program writes itself. */
    public ByteBuf() {
        this(Integer.MAX_VALUE);
    }

    /** Bytes in it. */
    public int size() {
        return size;
    }

    /**
     * The array that holds the bytes, from 0 to {@link #size}; it changes when more is appended.
     */
    public byte[] array() {
        return bytes;
    }

    /** Empties it. */
    public void clear() {
        size = 0;
        if (bytes.length > KEPT_BYTES) {
            release();
        }
    }

    /** Empties it and gives all its memory back. */
    public void release() {
        size = 0;
        quota.give(bytes.length - FIRST_BYTES);
        bytes = new byte[FIRST_BYTES];
    }

    /** Cuts it back to an earlier size. */
    public void truncate(int to) {
        size = Math.min(size, to);
    }

    /** Drops that many bytes from the front. */
    public void dropFront(int count) {
        System.arraycopy(bytes, count, bytes, 0, size - count);
        size -= count;
    }

    /** Writes all of it to a stream. */
    public void writeTo(OutputStream out) throws IOException {
        out.write(bytes, 0, size);
    }

    private void room(int more) throws WireException {
        if ((long) size + more > mostBytes) {
            throw new WireException(
                    WireException.Reason.TOO_LARGE,
                    "a packet is over the limit of " + mostBytes + " bytes");
        }
        if (size + more > bytes.length) {
            int wanted = (int) Math.max(size + more, Math.min(mostBytes, bytes.length * 2L));
            if (!quota.take(wanted - bytes.length)) {
                throw new WireException(
                        WireException.Reason.TOO_LARGE,
                        "the memory set aside for answers is used up");
            }
            bytes = Arrays.copyOf(bytes, wanted);
        }
    }

    /** Appends bytes. */
    public ByteBuf append(byte[] from, int offset, int length) throws WireException {
        room(length);
        System.arraycopy(from, offset, bytes, size, length);
        size += length;
        return this;
    }

    /** Appends a byte. */
    public ByteBuf putByte(int value) throws WireException {
        room(1);
        bytes[size++] = (byte) value;
        return this;
    }

    /** Appends a flag as one byte. */
    public ByteBuf putFlag(boolean value) throws WireException {
        return putByte(value ? 1 : 0);
    }

    /** Appends an unsigned number of variable length. */
    public ByteBuf putVarUInt(long value) throws WireException {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            putByte((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        return putByte((int) rest);
    }

    /** Appends two bytes, least first. */
    public ByteBuf putShort(int value) throws WireException {
        return putByte(value).putByte(value >>> 8);
    }

    /** Appends four bytes, least first. */
    public ByteBuf putInt(int value) throws WireException {
        room(Integer.BYTES);
        INT.set(bytes, size, value);
        size += Integer.BYTES;
        return this;
    }

    /** Appends eight bytes, least first. */
    public ByteBuf putLong(long value) throws WireException {
        room(Long.BYTES);
        LONG.set(bytes, size, value);
        size += Long.BYTES;
        return this;
    }

    /** Appends a text with its length before it. */
    public ByteBuf putString(String value) throws WireException {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        putVarUInt(text.length);
        return append(text, 0, text.length);
    }
}
