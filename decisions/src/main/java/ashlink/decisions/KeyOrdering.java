package ashlink.decisions;

import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.QueryClass;
import java.util.HashMap;
import java.util.Map;

/**
 * Rule "order by key": the queries of one ordering key run one at a time, in the order of their
 * submission. After an attempt that may still run on an engine, the next query of the key waits for
 * the quiet period.
 */
final class KeyOrdering {

    private final long quietPeriodNs;
    private final Map<String, KeyQueue> queues = new HashMap<>();

    KeyOrdering(long quietPeriodNs) {
        this.quietPeriodNs = quietPeriodNs;
    }

    /** Returns the queue of the key of a submitted query; null if its order is free. */
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

    /** Whether the order of its key lets the query start; a retry does not wait for the pause. */
    boolean hasTurn(QueryState query, long nowNs) {
        return query.keyQueue == null
                || query.keyQueue.queries.peek() == query
                        && (query.attempts > 0 || nowNs >= query.keyQueue.pausedUntilNs);
    }

    /** Pauses the key of a query whose attempt may still run on its engine. */
    void pause(QueryState query, long nowNs) {
        if (query.keyQueue != null) {
            query.keyQueue.pausedUntilNs = nowNs + quietPeriodNs;
        }
    }

    /** Drops the keys without queries whose pause is over. */
    void removeIdle(long nowNs) {
        queues.values().removeIf(queue -> queue.queries.isEmpty() && nowNs >= queue.pausedUntilNs);
    }
}
