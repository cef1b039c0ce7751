package ashlink.fleet.supervise;

import java.util.ArrayDeque;

/**
 * Decides when an exited process is restarted: immediately after a stable run, with exponential
 * backoff after short runs, and with the maximum backoff in a crash loop. Times are in nanoseconds
 * of one monotonic clock. Performs no I/O and reads no clock; not thread-safe.
 */
public final class RestartPolicy {

    /** The action after an exit. */
    public enum RestartAction {
        /** No restart, because the exit was requested or successful. */
        NONE,
        /** No restart, because the settings are invalid. */
        GIVE_UP,
        /** Restart after the backoff. */
        RESTART,
        /** Restart after the maximum backoff, because the process is in a crash loop. */
        CRASH_LOOP
    }

    /** An action and the backoff before the restart in nanoseconds. */
    public record Decision(RestartAction action, long backoffNs) {}

    /**
     * Limits of restarts; durations are in nanoseconds.
     *
     * @param initialBackoffNs backoff after the first short run, doubled after each further one
     * @param maxBackoffNs maximum backoff
     * @param stableRunNs minimum duration of a run that resets the backoff
     * @param crashLoopRuns number of short runs within {@code crashLoopWindowNs} that constitute a
     *     crash loop
     */
    public record RestartLimits(
            long initialBackoffNs,
            long maxBackoffNs,
            long stableRunNs,
            int crashLoopRuns,
            long crashLoopWindowNs) {

        /**
         * Default limits: a backoff of 0.5 s to 30 s that a run of 60 s resets; a crash loop is 5
         * short runs within 300 s.
         */
        public static final RestartLimits DEFAULT =
                new RestartLimits(
                        500_000_000L, 30_000_000_000L, 60_000_000_000L, 5, 300_000_000_000L);
    }

    /** Exit status of a process whose settings are invalid. */
    private static final int INVALID_SETTINGS_STATUS = 2;

    private final RestartLimits limits;
    private final ArrayDeque<Long> shortRunEndsNs = new ArrayDeque<>();
    private int consecutiveShortRuns;

    /** Creates a policy with the given limits. */
    public RestartPolicy(RestartLimits limits) {
        this.limits = limits;
    }

    /**
     * Decides whether and when the process is restarted after an exit.
     *
     * @param status exit status of the process
     * @param requested whether the exit was requested by the supervisor or its operator
     */
    public Decision onExit(long startedNs, long endedNs, int status, boolean requested) {
        if (requested || status == 0) {
            return new Decision(RestartAction.NONE, 0);
        }
        if (status == INVALID_SETTINGS_STATUS) {
            return new Decision(RestartAction.GIVE_UP, 0);
        }
        if (endedNs - startedNs >= limits.stableRunNs()) {
            consecutiveShortRuns = 0;
            shortRunEndsNs.clear();
            return new Decision(RestartAction.RESTART, 0);
        }
        shortRunEndsNs.add(endedNs);
        while (endedNs - shortRunEndsNs.peek() > limits.crashLoopWindowNs()) {
            shortRunEndsNs.remove();
        }
        long backoffNs =
                Math.min(
                        limits.maxBackoffNs(),
                        limits.initialBackoffNs() << Math.min(consecutiveShortRuns++, 30));
        return shortRunEndsNs.size() >= limits.crashLoopRuns()
                ? new Decision(RestartAction.CRASH_LOOP, limits.maxBackoffNs())
                : new Decision(
                        RestartAction.RESTART, backoffNs < 0 ? limits.maxBackoffNs() : backoffNs);
    }
}
