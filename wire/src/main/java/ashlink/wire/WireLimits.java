package ashlink.wire;

/**
 * Limits of a reader, in bytes or counts. A value above a limit throws a {@link WireException} with
 * {@code TOO_LARGE}.
 *
 * @param nameBytes size of a name, a user name, a setting name or a column type
 * @param textBytes size of a statement, a setting value or an exception message
 * @param settings number of settings of one query
 * @param columns number of columns of one block
 * @param packetBytes size of one packet as sent over the socket
 * @param frameBytes size of a compressed frame, both compressed and uncompressed
 */
public record WireLimits(
        int nameBytes, int textBytes, int settings, int columns, long packetBytes, int frameBytes) {

    /** Default limits, sufficient for all that public clients send by default. */
    public static final WireLimits DEFAULT =
            new WireLimits(64 << 10, 16 << 20, 1_000, 10_000, 256L << 20, 64 << 20);

    /** Limits for a peer that has not logged in: a Hello packet has only short strings. */
    public static final WireLimits LOGIN = new WireLimits(1 << 10, 4 << 10, 0, 0, 16 << 10, 0);
}
