package ashlink.capture.events;

/** Layout of a varint: seven bits per byte, least significant bits first. */
final class Varint {

    static final int PAYLOAD_BITS = 7;
    static final long PAYLOAD_MASK = 0x7f;

    /** Bit that is set in every byte except the last. */
    static final int CONTINUATION_BIT = 0x80;

    private Varint() {}
}
