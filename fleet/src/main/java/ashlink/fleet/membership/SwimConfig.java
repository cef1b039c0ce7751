package ashlink.fleet.membership;

/**
 * Times and numbers of the protocol, in the terms of the paper.
 *
 * @param periodNs protocol period: one member is asked in each
 * @param ackNs time for the direct answer; the rest of the period is for the indirect one
 * @param indirect members that are asked to ask (k of the paper)
 * @param suspicion periods of suspicion, times the logarithm of the number of members
 * @param rumors that ride along at most
 * @param spread times that a rumor is told on, times the logarithm of the number of members
 *     (lambda)
 * @param regainPeriods periods between two pings of a member that is gone: how a cut heals
 */
public record SwimConfig(
        long periodNs,
        long ackNs,
        int indirect,
        double suspicion,
        int rumors,
        double spread,
        int regainPeriods) {

    /** A member asked each 250 ms. */
    public static final SwimConfig DEFAULT =
            new SwimConfig(250_000_000L, 80_000_000L, 3, 3, 12, 3, 8);
}
