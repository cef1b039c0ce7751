package ashlink.wire;

/** Types of packet that a client sends; the ordinal is the number on the wire. */
public enum ClientPacket {
    /** Opens a connection. */
    HELLO,
    /** Carries a statement with its settings. */
    QUERY,
    /** Carries a block of an insert or of an external table. */
    DATA,
    /** Cancels the running statement. */
    CANCEL,
    /** Requests a Pong packet. */
    PING;

    /** Returns the packet type with the given number; any other number is malformed. */
    public static ClientPacket of(long number) throws WireException {
        if (number < 0 || number >= values().length) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "unknown client packet type " + number + ": at most " + (values().length - 1));
        }
        return values()[(int) number];
    }
}
