package ashlink.decisions;

/**
 * Decides whether an attempt of a query may start on an engine. Every attempt is checked here, so
 * that the seven invariants listed in the package documentation hold for all attempts.
 */
final class DispatchEligibility {

    private final RetryPolicy retryPolicy;
    private final KeyOrdering keyOrdering;
    private final SlowStart slowStart;
    private final RetryBudget retryBudget;

    DispatchEligibility(
            RetryPolicy retryPolicy,
            KeyOrdering keyOrdering,
            SlowStart slowStart,
            RetryBudget retryBudget) {
        this.retryPolicy = retryPolicy;
        this.keyOrdering = keyOrdering;
        this.slowStart = slowStart;
        this.retryBudget = retryBudget;
    }

    /** Returns whether all invariants allow an attempt of the query on the engine now. */
    boolean mayStart(QueryState query, EngineState engine, long nowNs) {
        return engine.isReady()
                && isUnanswered(query)
                && retryPolicy.hasAttemptsLeft(query)
                && isPlacementAllowed(query, engine)
                && keyOrdering.allows(query, nowNs)
                && retryPolicy.allows(query, engine, nowNs)
                && slowStart.allows(query, engine, nowNs)
                && retryBudget.allows(query, nowNs);
    }

    /** Returns false if no engine can be eligible, by the checks that depend on the query alone. */
    boolean mayStartAnywhere(QueryState query, long nowNs) {
        return keyOrdering.allows(query, nowNs) && retryBudget.allows(query, nowNs);
    }

    /**
     * Invariant "single final answer": a query has at most one attempt in flight, and none after
     * its final answer.
     */
    private static boolean isUnanswered(QueryState query) {
        return !query.finished && !query.isInFlight();
    }

    /**
     * Invariant "placement": a query runs only on the kinds of engine and in the zones that its
     * class allows.
     */
    private static boolean isPlacementAllowed(QueryState query, EngineState engine) {
        return (query.queryClass.engineKinds().isEmpty()
                        || query.queryClass.engineKinds().contains(engine.endpoint.kind()))
                && (query.queryClass.zones().isEmpty()
                        || query.queryClass.zones().contains(engine.endpoint.zone()));
    }
}
