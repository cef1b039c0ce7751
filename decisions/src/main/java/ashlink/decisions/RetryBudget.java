package ashlink.decisions;

import ashlink.decisions.api.PolicyLimits;
import java.util.ArrayDeque;

/**
 * Rule "attempts within budget": the retries in each window are at most a number of free ones plus
 * a fraction of the queries that were submitted in it.
 *
 * <p>At the edge of the window a retry still counts and a query no longer does: the stricter
 * choice, so that the budget also holds for a window that includes both of its ends.
 */
final class RetryBudget {

    private final PolicyLimits limits;

    /** Times of the queries submitted in the window. */
    private final ArrayDeque<Long> queriesNs = new ArrayDeque<>();

    /** Times of the retries in the window. */
    private final ArrayDeque<Long> retriesNs = new ArrayDeque<>();

    RetryBudget(PolicyLimits limits) {
        this.limits = limits;
    }

    void recordQuery(long nowNs) {
        queriesNs.add(nowNs);
    }

    void recordRetry(long nowNs) {
        retriesNs.add(nowNs);
    }

    /** Whether the next attempt of the query is its first or within the budget. */
    boolean allows(QueryState query, long nowNs) {
        removeExpired(nowNs);
        return limits.retryBudgetWindowNs() <= 0
                || query.attempts == 0
                || retriesNs.size() + 1
                        <= limits.freeRetries() + limits.retriesPerQuery() * queriesNs.size();
    }

    /** Drops what is older than the window. */
    void removeExpired(long nowNs) {
        long windowStartNs = nowNs - limits.retryBudgetWindowNs();
        while (!queriesNs.isEmpty() && queriesNs.peek() <= windowStartNs) {
            queriesNs.poll();
        }
        while (!retriesNs.isEmpty() && retriesNs.peek() < windowStartNs) {
            retriesNs.poll();
        }
    }
}
