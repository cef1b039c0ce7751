package ashlink.background.plan;

/**
 * Specification of a background task.
 *
 * @param name unique name within a planner, not empty
 * @param priority priority among due tasks
 * @param periodNs time between runs in nanoseconds; 0 for a one-time task
 * @param jitter maximum random offset of each due time as a fraction of the period, from 0 to 0.5
 * @param maxDelayNs maximum time that pressure postpones a run after its due time, in nanoseconds
 * @param maxRunNs maximum duration of a run in nanoseconds; a longer run is interrupted
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
     * Validates the specification.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public TaskSpec {
        if (name.isEmpty()
                || periodNs < 0
                || !(jitter >= 0 && jitter <= 0.5)
                || maxDelayNs < 0
                || maxRunNs <= 0) {
            throw new IllegalArgumentException(
                    "invalid background task: name=\""
                            + name
                            + "\" periodNs="
                            + periodNs
                            + " jitter="
                            + jitter
                            + " maxDelayNs="
                            + maxDelayNs
                            + " maxRunNs="
                            + maxRunNs
                            + ": name must not be empty, periodNs and maxDelayNs must be at least"
                            + " 0, jitter from 0 to 0.5, maxRunNs above 0");
        }
    }

    /** Returns a periodic task with a jitter of 0.1. */
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

    /** Returns a one-time task that is due immediately. */
    public static TaskSpec once(String name, Priority priority, long maxDelayNs, long maxRunNs) {
        return new TaskSpec(name, priority, 0, 0, maxDelayNs, maxRunNs, false);
    }

    /** Returns a copy of this task with a final run when the scheduler stops. */
    public TaskSpec withFinalRun() {
        return new TaskSpec(name, priority, periodNs, jitter, maxDelayNs, maxRunNs, true);
    }

    /** Returns true if the task runs only once. */
    boolean isOneTime() {
        return periodNs == 0;
    }
}
