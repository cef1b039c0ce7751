package ashlink.decisions;

import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;

/**
 * Rule "no effect twice", and the number of attempts: decides whether and where a query may be sent
 * again after an attempt that may have been executed.
 */
final class RetryPolicy {

    private final int maxAttempts;

    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Rule "attempts within budget": whether another attempt is within the number per query. */
    boolean hasAttemptsLeft(QueryState query) {
        return query.attempts < maxAttempts;
    }

    /** Whether the query may be sent again on some engine. */
    boolean mayRetry(QueryState query) {
        boolean isSafe =
                query.mayHaveRunOn == null || query.spec.retrySafety() != RetrySafety.AT_MOST_ONCE;
        return isSafe && hasAttemptsLeft(query);
    }

    /**
     * Whether the query has no effect twice if it is sent to the engine: it never ran, is
     * idempotent, or the engine drops the repeat. One maintenance interval of the deduplication
     * window is left for the way to the engine.
     */
    boolean allows(QueryState query, EngineState engine, long nowNs) {
        QueryClass spec = query.spec;
        if (query.mayHaveRunOn == null || spec.retrySafety() == RetrySafety.IDEMPOTENT) {
            return true;
        }
        return spec.retrySafety() == RetrySafety.DEDUPLICATED
                && sharesIdempotencyKeys(query, engine)
                && nowNs - query.mayHaveRunSinceNs
                        < spec.deduplicationWindowNs() - MaintenanceTask.INTERVAL_NS;
    }

    private static boolean sharesIdempotencyKeys(QueryState query, EngineState engine) {
        return switch (query.spec.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> engine.endpoint.zone().equals(query.mayHaveRunOn.zone());
            case CELL -> engine.endpoint.cell() == query.mayHaveRunOn.cell();
        };
    }

    /** Records the end of an attempt that may have been executed. */
    void recordOutcome(QueryState query, Outcome outcome) {
        if (outcome.mayHaveRun() && query.mayHaveRunOn == null) {
            query.mayHaveRunOn = query.lastEndpoint;
            query.mayHaveRunSinceNs = query.attemptStartNs;
        }
    }

    /** Whether the engine may still run an attempt that ended like this. */
    static boolean mayStillRun(Outcome outcome) {
        return outcome == Outcome.TIMED_OUT
                || outcome == Outcome.RESET
                || outcome == Outcome.CANCELLED;
    }
}
