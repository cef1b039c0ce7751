package ashlink.decisions;

import ashlink.decisions.api.PolicyLimits;
import java.util.ArrayDeque;

/**
 * Invariant "retry budget": the number of retries in each window is at most a fixed number plus a
 * fraction of the number of queries submitted in the window.
 *
 * <p>An event exactly as old as the window counts if it is a retry and does not count if it is a
 * query. This stricter choice keeps the budget for windows with inclusive ends, too.
 */
final class RetryBudget {

    private final PolicyLimits limits;

    /** Submission times of the queries in the window. */
    private final ArrayDeque<Long> queriesNs = new ArrayDeque<>();

    /** Start times of the retries in the window. */
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

    /**
     * Returns whether the next attempt of the query is its first attempt or a retry within the
     * budget.
     */
    boolean allows(QueryState query, long nowNs) {
        removeExpired(nowNs);
        return limits.retryBudgetWindowNs() <= 0
                || query.attempts == 0
                || retriesNs.size() + 1
                        <= limits.freeRetries() + limits.retriesPerQuery() * queriesNs.size();
    }

    /** Removes the events that are older than the window. */
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
