package ashlink.wire;

/**
 * Limits of a reader, in bytes or counts; beyond them it throws a {@link WireException} with {@code
 * TOO_LARGE}.
 *
 * @param nameBytes a name, a user, a setting's name, a type's text
 * @param textBytes a statement, a setting's value, an exception's message
 * @param settings settings of one query
 * @param columns columns of one block
 * @param packetBytes one packet, as it crosses the socket
 * @param frameBytes a compressed frame, before and after compression
 */
public record WireLimits(
        int nameBytes, int textBytes, int settings, int columns, long packetBytes, int frameBytes) {

    /** Enough for all that public clients send by default. */
    public static final WireLimits DEFAULT =
            new WireLimits(64 << 10, 16 << 20, 1_000, 10_000, 256L << 20, 64 << 20);

    /** For a peer that has not logged in: a Hello has only short texts. */
    public static final WireLimits LOGIN = new WireLimits(1 << 10, 4 << 10, 0, 0, 16 << 10, 0);
}
