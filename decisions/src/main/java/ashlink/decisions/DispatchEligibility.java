package ashlink.decisions;

/**
 * Decides whether an attempt of a query may start on an engine. Each attempt passes here, so that
 * the seven rules hold for all of them.
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

    /** Whether all rules allow an attempt of the query on the engine now. */
    boolean mayStart(QueryState query, EngineState engine, long nowNs) {
        return engine.isReady()
                && isUnanswered(query)
                && retryPolicy.hasAttemptsLeft(query)
                && isPlacementAllowed(query, engine)
                && keyOrdering.hasTurn(query, nowNs)
                && retryPolicy.allows(query, engine, nowNs)
                && slowStart.allows(query, engine, nowNs)
                && retryBudget.allows(query, nowNs);
    }

    /** Whether some engine may be eligible at all: the rules that concern the query alone. */
    boolean mayStartAnywhere(QueryState query, long nowNs) {
        return keyOrdering.hasTurn(query, nowNs) && retryBudget.allows(query, nowNs);
    }

    /** Rule "one final answer": never two attempts in flight, and none after the answer. */
    private static boolean isUnanswered(QueryState query) {
        return !query.finished && !query.isInFlight();
    }

    /** Rule "placement": a class runs only on its kinds of engine and in its zones. */
    private static boolean isPlacementAllowed(QueryState query, EngineState engine) {
        return (query.spec.engineKinds().isEmpty()
                        || query.spec.engineKinds().contains(engine.endpoint.kind()))
                && (query.spec.zones().isEmpty()
                        || query.spec.zones().contains(engine.endpoint.zone()));
    }
}
