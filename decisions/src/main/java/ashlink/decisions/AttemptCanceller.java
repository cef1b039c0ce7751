package ashlink.decisions;

import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.RetrySafety;

/** Cancels attempts in flight, where that has no effect twice and engines support it. */
final class AttemptCanceller {

    private final boolean cancellation;
    private final RetryPolicy retryPolicy;
    private final ActionBuffer actions;

    AttemptCanceller(boolean cancellation, RetryPolicy retryPolicy, ActionBuffer actions) {
        this.cancellation = cancellation;
        this.retryPolicy = retryPolicy;
        this.actions = actions;
    }

    /** Rule "no effect twice": only an idempotent query with an attempt left may be cancelled. */
    boolean mayCancel(QueryState query) {
        return cancellation
                && query.spec.retrySafety() == RetrySafety.IDEMPOTENT
                && !query.finished
                && !query.cancelRequested
                && retryPolicy.hasAttemptsLeft(query);
    }

    /** Cancels the attempt in flight of a query that may be cancelled. */
    void cancel(QueryState query) {
        query.cancelRequested = true;
        actions.add(new CancelAttempt(query.id, query.attempts - 1));
    }
}
