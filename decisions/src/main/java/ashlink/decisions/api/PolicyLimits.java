package ashlink.decisions.api;

/**
 * Limits that the site's rules set; a limit that the site does not state is 0.
 *
 * @param drainGraceNs time within which nothing more may be sent to a draining engine
 * @param slowStartFraction fraction of its capacity that an engine has when it starts
 * @param slowStartNs time after its start in which an engine is warming up
 * @param slowStartOverloadFactor load over the capacity at which a warming engine is overloaded; 0
 *     for no limit
 * @param slowStartWindowNs window over which the load on a warming engine is counted
 * @param keyQuietPeriodNs pause of an ordering key after an attempt that may still run
 * @param freeRetries retries in each window that are allowed whatever the number of queries
 * @param retriesPerQuery retries that each query in the window allows
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
