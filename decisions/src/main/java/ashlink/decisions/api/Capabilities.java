package ashlink.decisions.api;

/**
 * The features that a router may use and that its engines support.
 *
 * @param healthChecks whether the router may send health checks
 * @param cancellation whether a running attempt can be cancelled
 * @param maxAttempts maximum number of attempts of one query, including the first
 * @param maxRetryAfterNs longest Retry-After that a client may be sent; 0 if none may be sent
 * @param memoryGrants whether engines honor a memory grant
 * @param priorities whether engines honor a scheduling priority
 * @param maxGrantFraction largest memory grant, as a fraction of the memory of an engine
 * @param queuesForMemory whether engines queue a query whose memory grant does not fit
 * @param progressIntervalNs interval of progress messages; 0 if there are none
 * @param reportsCost whether results include the work and the memory that the query needed
 * @param inlineLoadReports whether results include a load report
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
