package ashlink.capture.events;

/** Encodings of a double; a byte with the encoding precedes the value. */
final class DoubleEncoding {

    /** NaN, without further bytes. */
    static final int NAN = 0;

    /** Non-negative integer below {@link #INTEGER_LIMIT}, as an unsigned varint. */
    static final int INTEGER = 1;

    /** IEEE 754 bits in eight bytes, least significant byte first. */
    static final int BITS = 2;

    static final long INTEGER_LIMIT = 1L << 40;

    private DoubleEncoding() {}
}
