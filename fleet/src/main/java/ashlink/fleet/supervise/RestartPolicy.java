package ashlink.fleet.supervise;

import java.util.ArrayDeque;

/**
 * When a process that ended is started again: at once after a good while, later and later after
 * short ones. Many short runs within a while are a loop: it goes on at the longest pause, and is
 * said to be one.
 */
public final class RestartPolicy {

    /** What is done about an end. */
    public enum What {
        /** It ended as it should: nothing. */
        DONE,
        /** It cannot start as it is set up: nothing, until somebody changes that. */
        GIVE_UP,
        /** It is started again, after a pause. */
        AGAIN,
        /** The same, and it is a loop. */
        LOOP
    }

    /** A decision; {@code pauseNs} before the next start. */
    public record Decision(What what, long pauseNs) {}

    /**
     * Terms of restarts, in nanoseconds.
     *
     * @param stableRunNs a run of that length counts as good
     * @param crashLoopRuns short runs within {@code crashLoopWindowNs} that make a loop
     */
    public record RestartLimits(
            long initialBackoffNs,
            long maxBackoffNs,
            long stableRunNs,
            int crashLoopRuns,
            long crashLoopWindowNs) {

        /**
         * Half a second to half a minute; a minute is good; five within five minutes are a loop.
         */
        public static final RestartLimits DEFAULT =
                new RestartLimits(
                        500_000_000L, 30_000_000_000L, 60_000_000_000L, 5, 300_000_000_000L);
    }

    private static final int INVALID_SETTINGS_STATUS = 2;

    private final RestartLimits limits;
    private final ArrayDeque<Long> shortRunEndsNs = new ArrayDeque<>();
    private int consecutiveShortRuns;

    /** Restarts by those terms. */
    public RestartPolicy(RestartLimits terms) {
        this.limits = terms;
    }

    /** A run ended with that status; {@code asked} true if it was told to. */
    public Decision ended(long startedNs, long endedNs, int status, boolean asked) {
        if (asked || status == 0) {
            return new Decision(What.DONE, 0);
        }
        if (status == INVALID_SETTINGS_STATUS) {
            return new Decision(What.GIVE_UP, 0);
        }
        if (endedNs - startedNs >= limits.stableRunNs()) {
            consecutiveShortRuns = 0;
            shortRunEndsNs.clear();
            return new Decision(What.AGAIN, 0);
        }
        shortRunEndsNs.add(endedNs);
        while (endedNs - shortRunEndsNs.peek() > limits.crashLoopWindowNs()) {
            shortRunEndsNs.remove();
        }
        long pause =
                Math.min(
                        limits.maxBackoffNs(),
                        limits.initialBackoffNs() << Math.min(consecutiveShortRuns++, 30));
        return shortRunEndsNs.size() >= limits.crashLoopRuns()
                ? new Decision(What.LOOP, limits.maxBackoffNs())
                : new Decision(What.AGAIN, pause < 0 ? limits.maxBackoffNs() : pause);
    }
}
