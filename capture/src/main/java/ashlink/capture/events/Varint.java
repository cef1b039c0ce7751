package ashlink.capture.events;

/** The layout of a varint: seven bits per byte, the least significant ones first. */
final class Varint {

    static final int PAYLOAD_BITS = 7;
    static final long PAYLOAD_MASK = 0x7f;

    /** Set in each byte but the last. */
    static final int CONTINUATION_BIT = 0x80;

    private Varint() {}
}
