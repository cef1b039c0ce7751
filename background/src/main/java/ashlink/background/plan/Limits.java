package ashlink.background.plan;

/**
 * Limits of all background work of a planner.
 *
 * @param maxConcurrentRuns maximum number of concurrent runs; if above 1, the last slot is reserved
 *     for {@link Priority#HIGH}
 * @param maxQueued maximum number of waiting one-time tasks; above this limit, a new task evicts
 *     the task of the lowest priority
 * @param cpuCores rate of processor time, in cores
 * @param cpuBurstNs maximum processor time of one grant, in nanoseconds
 * @param bytesPerSecond rate of disk traffic, reads and writes together
 * @param burstBytes maximum number of bytes of one grant
 * @param minRateFraction fraction of both rates that remains available at the highest pressure,
 *     above 0 and at most 1; prevents permanent starvation
 * @param graceNs time from the interrupt of a run until the run is abandoned, in nanoseconds
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

    /** Defaults: a quarter of a core, 64 MiB per second, two concurrent runs. */
    public static final Limits DEFAULT =
            new Limits(2, 1_000, 0.25, 20e6, 64 << 20, 8 << 20, 0.1, 1_000_000_000L);

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public Limits {
        if (maxConcurrentRuns < 1
                || maxQueued < 1
                || !(cpuCores > 0)
                || !(minRateFraction > 0 && minRateFraction <= 1)
                || graceNs < 0) {
            throw new IllegalArgumentException(
                    "invalid limits of background work: maxConcurrentRuns="
                            + maxConcurrentRuns
                            + " maxQueued="
                            + maxQueued
                            + " cpuCores="
                            + cpuCores
                            + " minRateFraction="
                            + minRateFraction
                            + " graceNs="
                            + graceNs
                            + ": maxConcurrentRuns and maxQueued must be at least 1, cpuCores above"
                            + " 0, minRateFraction above 0 and at most 1, graceNs at least 0");
        }
    }
}
