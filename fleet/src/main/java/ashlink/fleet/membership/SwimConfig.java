package ashlink.fleet.membership;

/**
 * Parameters of SWIM.
 *
 * @param periodNs protocol period; one member is pinged in each
 * @param pingTimeoutNs time for the ack of a direct ping; ping-reqs have the rest of the period
 * @param pingReqMembers members that get a ping-req (k of the paper)
 * @param suspicionFactor suspicion timeout in protocol periods, times log2 of the number of members
 * @param maxUpdatesPerMessage most membership updates piggybacked on a message
 * @param disseminationFactor messages that carry an update, times log2 of the number of members
 *     (lambda of the paper)
 * @param deadPingPeriods protocol periods between two pings of a dead member, by which the sides of
 *     a healed network partition find each other
 */
public record SwimConfig(
        long periodNs,
        long pingTimeoutNs,
        int pingReqMembers,
        double suspicionFactor,
        int maxUpdatesPerMessage,
        double disseminationFactor,
        int deadPingPeriods) {

    /** A protocol period of 250 ms. */
    public static final SwimConfig DEFAULT =
            new SwimConfig(250_000_000L, 80_000_000L, 3, 3, 12, 3, 8);
}
