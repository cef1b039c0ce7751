package ashlink.decisions;

/**
 * Sets the scheduling priority of an attempt on its engine: short queries run first, because they
 * hardly delay long ones; those that have missed their objective run last.
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
