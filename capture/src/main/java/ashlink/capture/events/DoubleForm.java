package ashlink.capture.events;

/** The forms in which a double is stored; the form precedes the value. */
final class DoubleForm {

    /** Not a number; nothing follows. */
    static final int NAN = 0;

    /** A natural number below {@link #INTEGER_LIMIT}, as an unsigned varint. */
    static final int INTEGER = 1;

    /** Eight bytes, the least significant first. */
    static final int BITS = 2;

    static final long INTEGER_LIMIT = 1L << 40;

    private DoubleForm() {}
}
