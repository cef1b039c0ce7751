package ashlink.decisions;

import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RepeatWindow;
import ashlink.decisions.api.RetrySafety;

/**
 * Invariant "no duplicate effects", and the maximum number of attempts per query: decides whether
 * and on which engines a query may run again after an attempt that may have been executed.
 */
final class RetryPolicy {

    private final int maxAttempts;

    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /**
     * Returns whether the query has attempts left. Invariant "retry budget": the number of attempts
     * per query is limited.
     */
    boolean hasAttemptsLeft(QueryState query) {
        return query.attempts < maxAttempts;
    }

    /** Returns whether a retry of the query is allowed on some engine. */
    boolean mayRetry(QueryState query) {
        boolean isSafe =
                query.mayHaveRunOn == null
                        || query.queryClass.retrySafety() != RetrySafety.AT_MOST_ONCE;
        return isSafe && hasAttemptsLeft(query);
    }

    /**
     * Returns whether the query has no duplicate effect if it is sent to the engine: it never ran,
     * is idempotent, or is deduplicated by the engine within its {@link RepeatWindow}.
     */
    boolean allows(QueryState query, EngineState engine, long nowNs) {
        QueryClass queryClass = query.queryClass;
        if (query.mayHaveRunOn == null || queryClass.retrySafety() == RetrySafety.IDEMPOTENT) {
            return true;
        }
        return queryClass.retrySafety() == RetrySafety.DEDUPLICATED
                && sharesIdempotencyKeys(query, engine)
                && nowNs < RepeatWindow.endNs(queryClass, query.mayHaveRunSinceNs);
    }

    private static boolean sharesIdempotencyKeys(QueryState query, EngineState engine) {
        return switch (query.queryClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> engine.endpoint.zone().equals(query.mayHaveRunOn.zone());
            case CELL -> engine.endpoint.cell() == query.mayHaveRunOn.cell();
        };
    }

    /**
     * Records the outcome of an attempt; the first attempt that may have been executed is
     * remembered.
     */
    void recordOutcome(QueryState query, Outcome outcome) {
        if (outcome.mayHaveRun() && query.mayHaveRunOn == null) {
            query.mayHaveRunOn = query.lastEndpoint;
            query.mayHaveRunSinceNs = query.attemptStartNs;
        }
    }

    /** Returns whether the engine may still run an attempt that ended with the outcome. */
    static boolean mayStillRun(Outcome outcome) {
        return outcome == Outcome.TIMED_OUT
                || outcome == Outcome.RESET
                || outcome == Outcome.CANCELLED;
    }
}
