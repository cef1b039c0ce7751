package ashlink.fleet.membership;

/**
 * Parameters of the SWIM protocol.
 *
 * @param periodNs protocol period, in which one member is pinged
 * @param pingTimeoutNs timeout of the ack of a direct ping; the acks of ping-reqs time out at the
 *     end of the protocol period
 * @param pingReqMembers number of members that receive a ping-req (k of the SWIM paper)
 * @param suspicionFactor multiplied by log2 of the number of members, gives the suspicion timeout
 *     in protocol periods
 * @param maxUpdatesPerMessage maximum number of membership updates piggybacked on a message
 * @param disseminationFactor multiplied by log2 of the number of members, gives the number of
 *     messages that carry an update (lambda of the SWIM paper)
 * @param deadPingPeriods protocol periods between two pings of a dead member; these pings let the
 *     sides of a network partition rediscover each other after the partition has healed
 */
public record SwimConfig(
        long periodNs,
        long pingTimeoutNs,
        int pingReqMembers,
        double suspicionFactor,
        int maxUpdatesPerMessage,
        double disseminationFactor,
        int deadPingPeriods) {

    /** Default parameters, with a protocol period of 250 ms. */
    public static final SwimConfig DEFAULT =
            new SwimConfig(250_000_000L, 80_000_000L, 3, 3, 12, 3, 8);
}
