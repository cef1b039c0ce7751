package ashlink.decisions.api;

/**
 * What a router may do at a site and what the engines there support.
 *
 * @param healthChecks whether the router may send health checks
 * @param cancellation whether a running attempt can be cancelled
 * @param maxAttempts most attempts of one query, the first included
 * @param maxRetryAfterNs longest Retry-After that may be given to a client; 0 if none may
 * @param memoryGrants whether engines honor a memory grant
 * @param priorities whether engines honor a scheduling priority
 * @param maxGrantFraction largest grant, as a fraction of an engine's memory
 * @param queuesForMemory whether engines queue a query whose grant does not fit
 * @param progressIntervalNs interval of progress messages; 0 if there are none
 * @param reportsCost whether results carry the work and memory that the query needed
 * @param inlineLoadReports whether results carry a load report
 * @param endpointsMustBeWatched whether the endpoint list is sent only on {@link
 *     Action.WatchEndpoints}
 */
public record Capabilities(
        boolean healthChecks,
        boolean cancellation,
        int maxAttempts,
        long maxRetryAfterNs,
        boolean memoryGrants,
        boolean priorities,
        double maxGrantFraction,
        boolean queuesForMemory,
        long progressIntervalNs,
        boolean reportsCost,
        boolean inlineLoadReports,
        boolean endpointsMustBeWatched) {}
