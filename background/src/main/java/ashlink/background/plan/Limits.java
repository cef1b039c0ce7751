package ashlink.background.plan;

/**
 * Limits of background work.
 *
 * @param runsAtOnce runs at a time; where it is over 1, the last place is for {@link Priority#HIGH}
 *     only
 * @param mostWaiting runs that wait; past it the least important gives way
 * @param cpuShare of one core, as nanoseconds of processor time a nanosecond
 * @param cpuBurstNs processor time that is given at once
 * @param bytesPerSecond to and from the disk
 * @param bytesBurst bytes given at once
 * @param leastShare share of both rates that is left under the worst pressure: no work starves for
 *     good
 * @param graceNs time between an interrupt and giving a run up
 */
public record Limits(
        int runsAtOnce,
        int mostWaiting,
        double cpuShare,
        double cpuBurstNs,
        double bytesPerSecond,
        double bytesBurst,
        double leastShare,
        long graceNs) {

    /** A quarter of a core, 64 MiB a second, two runs at once. */
    public static final Limits DEFAULT =
            new Limits(2, 1_000, 0.25, 20e6, 64 << 20, 8 << 20, 0.1, 1_000_000_000L);

    /** Checks the ranges. */
    public Limits {
        if (runsAtOnce < 1
                || mostWaiting < 1
                || !(cpuShare > 0)
                || !(leastShare > 0 && leastShare <= 1)
                || graceNs < 0) {
            throw new IllegalArgumentException(
                    "limits of background work: "
                            + runsAtOnce
                            + " at once, "
                            + mostWaiting
                            + " waiting, share "
                            + cpuShare
                            + ", least share "
                            + leastShare
                            + ", grace "
                            + graceNs);
        }
    }
}
