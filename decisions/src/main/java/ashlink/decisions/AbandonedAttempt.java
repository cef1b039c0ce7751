package ashlink.decisions;

/**
 * An attempt that has ended for the router but may still run on its engine, so that it still counts
 * towards the load of the engine.
 *
 * @param countedUntilNs time until which the attempt counts as load
 * @param query the query of the attempt
 */
record AbandonedAttempt(long countedUntilNs, QueryState query) {}
