package ashlink.decisions;

/**
 * Determines the scheduling priority of an attempt on its engine. Short queries have the highest
 * priority because they hardly delay long queries; queries that have missed their latency objective
 * have the lowest priority.
 */
final class PriorityPolicy {

    private static final int MISSED_OBJECTIVE_PRIORITY = 0;
    private static final int NORMAL_PRIORITY = 1;
    private static final int SHORT_PRIORITY = 3;

    private final boolean prioritiesSupported;
    private final ShortQueryClassifier shortQueries;

    PriorityPolicy(boolean prioritiesSupported, ShortQueryClassifier shortQueries) {
        this.prioritiesSupported = prioritiesSupported;
        this.shortQueries = shortQueries;
    }

    int priorityOf(QueryState query, long nowNs) {
        if (!prioritiesSupported) {
            return NORMAL_PRIORITY;
        }
        if (nowNs >= query.objectiveEndNs()) {
            return MISSED_OBJECTIVE_PRIORITY;
        }
        return shortQueries.isShort(query) ? SHORT_PRIORITY : NORMAL_PRIORITY;
    }
}
