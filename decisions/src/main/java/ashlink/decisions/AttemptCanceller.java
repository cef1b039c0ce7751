package ashlink.decisions;

import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.RetrySafety;

/**
 * Cancels attempts in flight if engines support cancellation and the query can safely run again.
 */
final class AttemptCanceller {

    private final boolean cancellationSupported;
    private final RetryPolicy retryPolicy;
    private final ActionBuffer actions;

    AttemptCanceller(boolean cancellationSupported, RetryPolicy retryPolicy, ActionBuffer actions) {
        this.cancellationSupported = cancellationSupported;
        this.retryPolicy = retryPolicy;
        this.actions = actions;
    }

    /**
     * Returns whether the attempt in flight may be cancelled. Invariant "no duplicate effects": the
     * query must be idempotent, and it must have an attempt left for the retry.
     */
    boolean mayCancel(QueryState query) {
        return cancellationSupported
                && query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT
                && !query.finished
                && !query.cancelRequested
                && retryPolicy.hasAttemptsLeft(query);
    }

    /** Cancels the attempt in flight. The caller checks {@link #mayCancel} first. */
    void cancel(QueryState query) {
        query.cancelRequested = true;
        actions.add(new CancelAttempt(query.id, query.attempts - 1));
    }
}
