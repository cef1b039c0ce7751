package ashlink.router.statement;

/**
 * The life of a statement whose client asks for its answer: under way, answered, its result
 * dropped, forgotten. Time only goes on; a statement is never brought back.
 */
public final class StatementLifecycle {

    /** Where it stands. */
    public enum State {
        /** Without a final answer. */
        RUNNING,
        /** Answered; what there is of a result can be fetched. */
        ANSWERED,
        /** Its result is dropped; it is answered as gone. */
        DISCARDED,
        /** Nothing is known of it any more. */
        REMOVED
    }

    /** What is to be done about it. */
    public enum PendingAction {
        /** Nothing yet. */
        NONE,
        /** Nobody asks for it: its work is to be called off. */
        CANCEL,
        /** Its result is to be dropped. */
        DISCARD,
        /** It is to be forgotten. */
        REMOVE
    }

    /**
     * How long things last, in nanoseconds.
     *
     * @param pollTimeoutNs a statement under way lasts that long without its client asking
     * @param resultRetentionNs an answer lasts that long without its client asking
     * @param completedRetentionNs an answer whose end was fetched lasts that long, for a client
     *     that asks again
     * @param tombstoneRetentionNs that long a dropped one is told from one that never was
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

    /** A statement that begins. */
    public StatementLifecycle(Timeouts terms, long nowNs) {
        this.timeouts = terms;
        this.nowNs = nowNs;
        this.lastPollNs = nowNs;
    }

    private void advanceClock(long now) {
        nowNs = Math.max(nowNs, now);
    }

    /** Its client asks, and waits until {@link #pollEnded}. */
    public void pollStarted(long now) {
        advanceClock(now);
        openPolls++;
        lastPollNs = nowNs;
    }

    /** Its client no longer waits; {@code end} true if it was given the end of the answer. */
    public void pollEnded(boolean end, long now) {
        advanceClock(now);
        openPolls = Math.max(0, openPolls - 1);
        lastPollNs = nowNs;
        lastPageFetched |= end;
    }

    /** It has its final answer; false if it was over already. */
    public boolean complete(long now) {
        advanceClock(now);
        if (state != State.RUNNING) {
            return false;
        }
        state = State.ANSWERED;
        lastPollNs = Math.max(lastPollNs, nowNs); // the time to fetch it starts with the answer
        return true;
    }

    /** Its result is dropped: by its client, or by a wish. */
    public void discard(long now) {
        advanceClock(now);
        if (state == State.RUNNING || state == State.ANSWERED) {
            state = State.DISCARDED;
            discardedNs = nowNs;
        }
    }

    /** What is to be done now; whoever does it says so. */
    public PendingAction pendingAction(long now) {
        advanceClock(now);
        return switch (state) {
            case RUNNING ->
                    openPolls == 0 && nowNs - lastPollNs >= timeouts.pollTimeoutNs()
                            ? PendingAction.CANCEL
                            : PendingAction.NONE;
            case ANSWERED ->
                    openPolls == 0
                                    && nowNs - lastPollNs
                                            >= (lastPageFetched
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

    /** Nothing is known of it from here on. */
    public void remove() {
        state = State.REMOVED;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** When its result was dropped; the oldest are forgotten first where there are too many. */
    public long discardedNs() {
        return discardedNs;
    }
}
