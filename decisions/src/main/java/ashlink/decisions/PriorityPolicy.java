package ashlink.decisions;

/**
 * Determines the scheduling priority of an attempt on its engine. Short queries have the highest
 * priority because they hardly delay long queries; queries that have missed their latency objective
 * have the lowest priority.
 */
final class PriorityPolicy {

    private static final int MISSED_OBJECTIVE = 0;
    private static final int NORMAL = 1;
    private static final int SHORT = 3;

    private final boolean priorities;
    private final ShortQueryClassifier shortQueries;

    PriorityPolicy(boolean priorities, ShortQueryClassifier shortQueries) {
        this.priorities = priorities;
        this.shortQueries = shortQueries;
    }

    int priorityOf(QueryState query, long nowNs) {
        if (!priorities) {
            return NORMAL;
        }
        if (nowNs >= query.objectiveEndNs()) {
            return MISSED_OBJECTIVE;
        }
        return shortQueries.isShort(query) ? SHORT : NORMAL;
    }
}
