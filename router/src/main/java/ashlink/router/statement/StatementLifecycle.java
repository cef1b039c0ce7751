package ashlink.router.statement;

/**
 * Tracks the lifecycle of a statement whose client polls for the result: running, answered,
 * discarded, removed. The state never returns to an earlier one, and a time earlier than a previous
 * one is treated as the previous one. Not safe for use by several threads. The caller supplies all
 * times, in nanoseconds.
 */
public final class StatementLifecycle {

    /** The state of a statement. */
    public enum State {
        /** The statement has no final response yet. */
        RUNNING,
        /** The statement has its final response; the result can be fetched. */
        ANSWERED,
        /** The result is deleted; clients that poll are told that it is deleted. */
        DISCARDED,
        /** The statement is no longer registered. */
        REMOVED
    }

    /** The action that the caller has to take for a statement. */
    public enum PendingAction {
        /** No action. */
        NONE,
        /** Cancel the statement because no client polls it. */
        CANCEL,
        /** Discard the result. */
        DISCARD,
        /** Remove the statement. */
        REMOVE
    }

    /**
     * The timeouts of a statement, in nanoseconds.
     *
     * @param pollTimeoutNs time without a poll after which a running statement is cancelled
     * @param resultRetentionNs time without a poll after which a result is discarded
     * @param completedRetentionNs time without a poll after which a result is discarded whose last
     *     page was fetched
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

    /** Creates the lifecycle of a statement that starts now. */
    public StatementLifecycle(Timeouts timeouts, long nowNs) {
        this.timeouts = timeouts;
        this.nowNs = nowNs;
        this.lastPollNs = nowNs;
    }

    private void advanceClock(long timeNs) {
        nowNs = Math.max(nowNs, timeNs);
    }

    /** Records the start of a poll, which lasts until {@link #pollEnded}. */
    public void pollStarted(long timeNs) {
        advanceClock(timeNs);
        openPolls++;
        lastPollNs = nowNs;
    }

    /** Records the end of a poll; {@code lastPage} tells whether it returned the result's end. */
    public void pollEnded(boolean lastPage, long timeNs) {
        advanceClock(timeNs);
        openPolls = Math.max(0, openPolls - 1);
        lastPollNs = nowNs;
        lastPageFetched |= lastPage;
    }

    /** Records the final response; returns false if the statement was no longer running. */
    public boolean complete(long timeNs) {
        advanceClock(timeNs);
        if (state != State.RUNNING) {
            return false;
        }
        state = State.ANSWERED;
        // The retention time of the result starts now, even if the last poll was long ago.
        lastPollNs = nowNs;
        return true;
    }

    /** Records that the result is discarded. */
    public void discard(long timeNs) {
        advanceClock(timeNs);
        if (state == State.RUNNING || state == State.ANSWERED) {
            state = State.DISCARDED;
            discardedNs = nowNs;
        }
    }

    /** Returns the action that is due; the caller records it with the methods of this class. */
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

    /** Records that the statement is removed. */
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
