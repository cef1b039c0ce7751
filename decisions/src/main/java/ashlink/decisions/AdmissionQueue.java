package ashlink.decisions;

import java.util.List;
import java.util.TreeSet;

/**
 * The queries that wait for an engine: highest priority weight first, then least estimated work,
 * which lets most of them meet their objective, then in the order of submission.
 *
 * <p>The order uses the estimate as it was given: its correction changes with each response, and
 * later queries would overtake like ones by it.
 */
final class AdmissionQueue {

    private final TreeSet<QueryState> queries = new TreeSet<>(AdmissionQueue::compare);

    private static int compare(QueryState left, QueryState right) {
        int byWeight = Double.compare(right.weight, left.weight);
        if (byWeight != 0) {
            return byWeight;
        }
        int byWork = Double.compare(left.estimateMs, right.estimateMs);
        return byWork != 0 ? byWork : Long.compare(left.sequence, right.sequence);
    }

    void add(QueryState query) {
        queries.add(query);
    }

    void remove(QueryState query) {
        queries.remove(query);
    }

    boolean contains(QueryState query) {
        return queries.contains(query);
    }

    /** Returns the queries in order; the list does not follow later changes. */
    List<QueryState> snapshot() {
        return List.copyOf(queries);
    }

    /** Returns the queries in order. */
    Iterable<QueryState> inOrder() {
        return queries;
    }

    /** Changes the weight of a queued query, and its place in the order with it. */
    void changeWeight(QueryState query, double weight) {
        queries.remove(query);
        query.weight = weight;
        queries.add(query);
    }

    /** Whether a queued query has missed its latency objective. */
    boolean isObjectiveMissed(long nowNs) {
        for (QueryState query : queries) {
            if (nowNs >= query.objectiveEndNs()) {
                return true;
            }
        }
        return false;
    }
}
