package ashlink.wire;

/** Kinds of packet that a client sends. */
public enum ClientPacket {
    /** Opens a connection. */
    HELLO,
    /** A statement with its settings. */
    QUERY,
    /** A block of an insert or of an external table. */
    DATA,
    /** Cancels the running statement. */
    CANCEL,
    /** Requests a Pong. */
    PING;

    /** The kind of that number; anything else is malformed. */
    public static ClientPacket of(long number) throws WireException {
        if (number < 0 || number >= values().length) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "a client's packet of kind " + number + " is unknown");
        }
        return values()[(int) number];
    }
}
