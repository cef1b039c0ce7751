package ashlink.background.plan;

/**
 * A kind of background work.
 *
 * @param name unique in a planner
 * @param everyNs time between runs; 0 for work that runs once
 * @param jitter share of {@code everyNs} by which each time is moved at random, from 0 to 0.5
 * @param latestNs how late a run may start before it goes ahead under pressure too
 * @param runNs longest run; one that takes longer is interrupted
 * @param atStop true where a last run is wanted when all stops
 */
public record TaskSpec(
        String name,
        Priority priority,
        long everyNs,
        double jitter,
        long latestNs,
        long runNs,
        boolean atStop) {

    /** Checks the ranges. */
    public TaskSpec {
        if (name.isEmpty()
                || everyNs < 0
                || !(jitter >= 0 && jitter <= 0.5)
                || latestNs < 0
                || runNs <= 0) {
            throw new IllegalArgumentException(
                    "a task "
                            + name
                            + " every "
                            + everyNs
                            + " ns, jitter "
                            + jitter
                            + ", latest "
                            + latestNs
                            + " ns, run "
                            + runNs
                            + " ns");
        }
    }

    /** Work that is repeated, with a tenth of jitter. */
    public static TaskSpec every(String name, Priority priority, long everyNs, long runNs) {
        return new TaskSpec(name, priority, everyNs, 0.1, 4 * everyNs, runNs, false);
    }

    /** Work that runs once, as soon as it may. */
    public static TaskSpec once(String name, Priority priority, long latestNs, long runNs) {
        return new TaskSpec(name, priority, 0, 0, latestNs, runNs, false);
    }

    /** The same with a last run when all stops. */
    public TaskSpec alsoAtStop() {
        return new TaskSpec(name, priority, everyNs, jitter, latestNs, runNs, true);
    }
}
