package ashlink.decisions;

import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.QueryClass;
import java.util.HashMap;
import java.util.Map;

/**
 * Invariant "key ordering": queries with the same ordering key run one at a time, in order of
 * submission. After an attempt that may still run on an engine, the next query of the key waits for
 * the quiet period.
 */
final class KeyOrdering {

    private final long quietPeriodNs;
    private final Map<String, KeyQueue> queues = new HashMap<>();

    KeyOrdering(long quietPeriodNs) {
        this.quietPeriodNs = quietPeriodNs;
    }

    /**
     * Returns the queue for the ordering key of a submitted query; null if the query is not
     * ordered.
     */
    KeyQueue queueFor(QuerySubmitted submitted, QueryClass queryClass) {
        return queryClass.ordered() && submitted.key() != null
                ? queues.computeIfAbsent(submitted.key(), key -> new KeyQueue())
                : null;
    }

    void add(QueryState query) {
        if (query.keyQueue != null) {
            query.keyQueue.queries.add(query);
        }
    }

    void remove(QueryState query) {
        if (query.keyQueue != null) {
            query.keyQueue.queries.remove(query);
        }
    }

    /**
     * Returns whether the key ordering lets the query start. The pause after an attempt applies to
     * the next query of the key, not to a retry of the same query.
     */
    boolean allows(QueryState query, long nowNs) {
        return query.keyQueue == null
                || query.keyQueue.queries.peek() == query
                        && (query.attempts > 0 || nowNs >= query.keyQueue.pausedUntilNs);
    }

    /**
     * Starts the quiet period of the key, after an attempt of the query that may still run on its
     * engine.
     */
    void pause(QueryState query, long nowNs) {
        if (query.keyQueue != null) {
            query.keyQueue.pausedUntilNs = nowNs + quietPeriodNs;
        }
    }

    /** Removes the queues that are empty and not paused. */
    void removeIdle(long nowNs) {
        queues.values().removeIf(queue -> queue.queries.isEmpty() && nowNs >= queue.pausedUntilNs);
    }
}
