package ashlink.router.statement;

/**
 * The lifecycle of a statement whose client polls for its result: running, answered, discarded,
 * removed. A state is never left for an earlier one, and time never goes back. Not safe for use by
 * several threads; times are those of the caller in nanoseconds.
 */
public final class StatementLifecycle {

    /** The state of a statement. */
    public enum State {
        /** It has no final response. */
        RUNNING,
        /** It has its final response; the result can be fetched. */
        ANSWERED,
        /** Its result is deleted; clients are told so. */
        DISCARDED,
        /** It is no longer known. */
        REMOVED
    }

    /** What the caller has to do about a statement. */
    public enum PendingAction {
        /** Nothing. */
        NONE,
        /** Cancel it, as no client polls it. */
        CANCEL,
        /** Discard its result. */
        DISCARD,
        /** Remove it. */
        REMOVE
    }

    /**
     * The time limits of statements, in nanoseconds.
     *
     * @param pollTimeoutNs time without a poll after which a running statement is cancelled
     * @param resultRetentionNs time without a poll after which a result is discarded
     * @param completedRetentionNs the same for a result whose last page was fetched
     * @param tombstoneRetentionNs time after which a discarded statement is removed
     */
    public record Timeouts(
            long pollTimeoutNs,
            long resultRetentionNs,
            long completedRetentionNs,
            long tombstoneRetentionNs) {}

    private final Timeouts timeouts;
    private State state = State.RUNNING;
    private long nowNs;
    private long lastPollNs;
    private long discardedNs;
    private int openPolls;
    private boolean lastPageFetched;

    /** A statement that starts now. */
    public StatementLifecycle(Timeouts timeouts, long nowNs) {
        this.timeouts = timeouts;
        this.nowNs = nowNs;
        this.lastPollNs = nowNs;
    }

    private void advanceClock(long timeNs) {
        nowNs = Math.max(nowNs, timeNs);
    }

    /** A poll starts; it lasts until {@link #pollEnded}. */
    public void pollStarted(long timeNs) {
        advanceClock(timeNs);
        openPolls++;
        lastPollNs = nowNs;
    }

    /** A poll ends; {@code lastPage} tells whether it returned the end of the result. */
    public void pollEnded(boolean lastPage, long timeNs) {
        advanceClock(timeNs);
        openPolls = Math.max(0, openPolls - 1);
        lastPollNs = nowNs;
        lastPageFetched |= lastPage;
    }

    /** The statement has its final response; returns false if it had ended before. */
    public boolean complete(long timeNs) {
        advanceClock(timeNs);
        if (state != State.RUNNING) {
            return false;
        }
        state = State.ANSWERED;
        // The retention of the result starts now, even if nobody polled for long.
        lastPollNs = nowNs;
        return true;
    }

    /** The result is discarded. */
    public void discard(long timeNs) {
        advanceClock(timeNs);
        if (state == State.RUNNING || state == State.ANSWERED) {
            state = State.DISCARDED;
            discardedNs = nowNs;
        }
    }

    /** Returns what has to be done now; the caller reports it by the methods of this class. */
    public PendingAction pendingAction(long timeNs) {
        advanceClock(timeNs);
        return switch (state) {
            case RUNNING ->
                    isUnpolledFor(timeouts.pollTimeoutNs())
                            ? PendingAction.CANCEL
                            : PendingAction.NONE;
            case ANSWERED ->
                    isUnpolledFor(
                                    lastPageFetched
                                            ? timeouts.completedRetentionNs()
                                            : timeouts.resultRetentionNs())
                            ? PendingAction.DISCARD
                            : PendingAction.NONE;
            case DISCARDED ->
                    nowNs - discardedNs >= timeouts.tombstoneRetentionNs()
                            ? PendingAction.REMOVE
                            : PendingAction.NONE;
            case REMOVED -> PendingAction.NONE;
        };
    }

    private boolean isUnpolledFor(long durationNs) {
        return openPolls == 0 && nowNs - lastPollNs >= durationNs;
    }

    /** The statement is removed. */
    public void remove() {
        state = State.REMOVED;
    }

    /** Returns the state. */
    public State state() {
        return state;
    }

    /** Returns the time at which the result was discarded. */
    public long discardedNs() {
        return discardedNs;
    }
}
