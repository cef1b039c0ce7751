package ashlink.background.plan;

/**
 * Specification of a background task.
 *
 * @param name unique in a planner, not empty
 * @param priority order among due runs
 * @param periodNs time between runs in nanoseconds; 0 for a task that runs once
 * @param jitter fraction of the period by which each due time is moved at random, from 0 to 0.5
 * @param maxDelayNs how long after its due time a run starts even under pressure, in nanoseconds
 * @param maxRunNs longest run in nanoseconds; a longer one is interrupted
 * @param finalRun true if the task runs once more when the scheduler stops
 */
public record TaskSpec(
        String name,
        Priority priority,
        long periodNs,
        double jitter,
        long maxDelayNs,
        long maxRunNs,
        boolean finalRun) {

    private static final double DEFAULT_JITTER = 0.1;
    private static final int DEFAULT_MAX_DELAY_PERIODS = 4;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public TaskSpec {
        if (name.isEmpty()
                || periodNs < 0
                || !(jitter >= 0 && jitter <= 0.5)
                || maxDelayNs < 0
                || maxRunNs <= 0) {
            throw new IllegalArgumentException(
                    "background task "
                            + name
                            + ": periodNs="
                            + periodNs
                            + " jitter="
                            + jitter
                            + " maxDelayNs="
                            + maxDelayNs
                            + " maxRunNs="
                            + maxRunNs);
        }
    }

    /** A periodic task, with a jitter of a tenth. */
    public static TaskSpec every(String name, Priority priority, long periodNs, long maxRunNs) {
        return new TaskSpec(
                name,
                priority,
                periodNs,
                DEFAULT_JITTER,
                DEFAULT_MAX_DELAY_PERIODS * periodNs,
                maxRunNs,
                false);
    }

    /** A task that is due at once and runs once. */
    public static TaskSpec once(String name, Priority priority, long maxDelayNs, long maxRunNs) {
        return new TaskSpec(name, priority, 0, 0, maxDelayNs, maxRunNs, false);
    }

    /** The same task with a final run when the scheduler stops. */
    public TaskSpec alsoAtStop() {
        return new TaskSpec(name, priority, periodNs, jitter, maxDelayNs, maxRunNs, true);
    }

    /** True if the task runs once only. */
    boolean isOneTime() {
        return periodNs == 0;
    }
}
