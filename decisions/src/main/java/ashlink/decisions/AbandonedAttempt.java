package ashlink.decisions;

/**
 * An attempt that ended for the router and still counts as load of its engine.
 *
 * @param countedUntilNs time until which it counts
 * @param query the query of the attempt
 */
record AbandonedAttempt(long countedUntilNs, QueryState query) {}
