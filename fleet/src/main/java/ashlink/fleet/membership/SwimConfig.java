package ashlink.fleet.membership;

/**
 * Times and numbers of the protocol, in the terms of the paper.
 *
 * @param periodNs protocol period: one member is asked in each
 * @param pingTimeoutNs time for the direct answer; the rest of the period is for the indirect one
 * @param pingReqMembers members that are asked to ask (k of the paper)
 * @param suspicionFactor periods of suspicion, times the logarithm of the number of members
 * @param maxUpdatesPerMessage that ride along at most
 * @param disseminationFactor times that a rumor is told on, times the logarithm of the number of
 *     members (lambda)
 * @param deadPingPeriods periods between two pings of a member that is gone: how a cut heals
 */
public record SwimConfig(
        long periodNs,
        long pingTimeoutNs,
        int pingReqMembers,
        double suspicionFactor,
        int maxUpdatesPerMessage,
        double disseminationFactor,
        int deadPingPeriods) {

    /** A member asked each 250 ms. */
    public static final SwimConfig DEFAULT =
            new SwimConfig(250_000_000L, 80_000_000L, 3, 3, 12, 3, 8);
}
