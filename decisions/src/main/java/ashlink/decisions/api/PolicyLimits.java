package ashlink.decisions.api;

/**
 * Limits set by the policy of a site; an unspecified limit is 0.
 *
 * @param drainGraceNs time that a router has to stop sending queries to a draining engine
 * @param slowStartFraction fraction of its capacity that an engine has when it starts
 * @param slowStartNs duration of the slow start of an engine
 * @param slowStartOverloadFactor ratio of load to capacity above which a warming engine is
 *     overloaded; 0 for no limit
 * @param slowStartWindowNs window in which the load on a warming engine is measured
 * @param keyQuietPeriodNs pause of an ordering key after an attempt that may still run
 * @param freeRetries number of retries allowed in each window independent of the number of queries
 * @param retriesPerQuery number of additional retries allowed for each query in the window
 * @param retryBudgetWindowNs window of the retry budget; 0 for no budget
 */
public record PolicyLimits(
        long drainGraceNs,
        double slowStartFraction,
        long slowStartNs,
        double slowStartOverloadFactor,
        long slowStartWindowNs,
        long keyQuietPeriodNs,
        double freeRetries,
        double retriesPerQuery,
        long retryBudgetWindowNs) {}
