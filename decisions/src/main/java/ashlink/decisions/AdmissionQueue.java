package ashlink.decisions;

import java.util.List;
import java.util.TreeSet;

/**
 * The queries that wait for an engine, ordered by priority weight (highest first), then by
 * estimated work (least first, so that as many queries as possible meet their latency objective),
 * then by order of submission.
 *
 * <p>The order uses the uncorrected estimate. The corrected estimate changes with each response, so
 * that later queries would overtake earlier queries of the same kind.
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

    /** Returns a copy of the queued queries in queue order, unaffected by later changes. */
    List<QueryState> snapshot() {
        return List.copyOf(queries);
    }

    /** Returns a live view of the queued queries in queue order. */
    Iterable<QueryState> inOrder() {
        return queries;
    }

    /** Changes the weight of a queued query and moves the query to its new position. */
    void changeWeight(QueryState query, double weight) {
        queries.remove(query);
        query.weight = weight;
        queries.add(query);
    }

    /** Returns whether any queued query has missed its latency objective. */
    boolean isObjectiveMissed(long nowNs) {
        for (QueryState query : queries) {
            if (nowNs >= query.objectiveEndNs()) {
                return true;
            }
        }
        return false;
    }
}
