package ashlink.background.plan;

/**
 * Limits of background work.
 *
 * @param maxConcurrentRuns runs at a time; if over 1, the last slot is reserved for {@link
 *     Priority#HIGH}
 * @param maxQueued one-time runs that wait; beyond it the least important is evicted
 * @param cpuCores processor time per time, in cores
 * @param cpuBurstNs processor time granted at once, in nanoseconds
 * @param bytesPerSecond to and from the disk
 * @param burstBytes bytes granted at once
 * @param minRateFraction fraction of both rates that remains under the highest pressure, over 0 and
 *     at most 1, so that no work starves for good
 * @param graceNs time between an interrupt and abandoning a run, in nanoseconds
 */
public record Limits(
        int maxConcurrentRuns,
        int maxQueued,
        double cpuCores,
        double cpuBurstNs,
        double bytesPerSecond,
        double burstBytes,
        double minRateFraction,
        long graceNs) {

    /** A quarter of a core, 64 MiB a second, two runs at once. */
    public static final Limits DEFAULT =
            new Limits(2, 1_000, 0.25, 20e6, 64 << 20, 8 << 20, 0.1, 1_000_000_000L);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public Limits {
        if (maxConcurrentRuns < 1
                || maxQueued < 1
                || !(cpuCores > 0)
                || !(minRateFraction > 0 && minRateFraction <= 1)
                || graceNs < 0) {
            throw new IllegalArgumentException(
                    "limits of background work: maxConcurrentRuns="
                            + maxConcurrentRuns
                            + " maxQueued="
                            + maxQueued
                            + " cpuCores="
                            + cpuCores
                            + " minRateFraction="
                            + minRateFraction
                            + " graceNs="
                            + graceNs);
        }
    }
}
