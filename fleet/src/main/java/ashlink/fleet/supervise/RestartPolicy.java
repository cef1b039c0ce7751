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
     * @param goodNs a run of that length counts as good
     * @param loopRuns short runs within {@code loopNs} that make a loop
     */
    public record RestartLimits(
            long firstNs, long longestNs, long goodNs, int loopRuns, long loopNs) {

        /**
         * Half a second to half a minute; a minute is good; five within five minutes are a loop.
         */
        public static final RestartLimits DEFAULT =
                new RestartLimits(
                        500_000_000L, 30_000_000_000L, 60_000_000_000L, 5, 300_000_000_000L);
    }

    private static final int BAD_SETTINGS = 2;

    private final RestartLimits terms;
    private final ArrayDeque<Long> shortEnds = new ArrayDeque<>();
    private int inARow;

    /** Restarts by those terms. */
    public RestartPolicy(RestartLimits terms) {
        this.terms = terms;
    }

    /** A run ended with that status; {@code asked} true if it was told to. */
    public Decision ended(long startedNs, long endedNs, int status, boolean asked) {
        if (asked || status == 0) {
            return new Decision(What.DONE, 0);
        }
        if (status == BAD_SETTINGS) {
            return new Decision(What.GIVE_UP, 0);
        }
        if (endedNs - startedNs >= terms.goodNs()) {
            inARow = 0;
            shortEnds.clear();
            return new Decision(What.AGAIN, 0);
        }
        shortEnds.add(endedNs);
        while (endedNs - shortEnds.peek() > terms.loopNs()) {
            shortEnds.remove();
        }
        long pause = Math.min(terms.longestNs(), terms.firstNs() << Math.min(inARow++, 30));
        return shortEnds.size() >= terms.loopRuns()
                ? new Decision(What.LOOP, terms.longestNs())
                : new Decision(What.AGAIN, pause < 0 ? terms.longestNs() : pause);
    }
}
