package ashlink.config;

import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;

/** The at-most-once variants of query classes; see {@link RouterConfig#allClasses}. */
final class AtMostOnceVariants {

    private AtMostOnceVariants() {}

    /** Tells whether a class may be retried and is restricted to some engines. */
    static boolean isNeeded(QueryClass queryClass) {
        return queryClass.retrySafety() != RetrySafety.AT_MOST_ONCE
                && !(queryClass.engineKinds().isEmpty() && queryClass.zones().isEmpty());
    }

    /** Returns a copy of a class that is never retried and has no deduplication window. */
    static QueryClass create(String name, QueryClass queryClass) {
        return new QueryClass(
                name,
                queryClass.latencyObjectiveNs(),
                queryClass.objectivePerWork(),
                queryClass.deadlineNs(),
                RetrySafety.AT_MOST_ONCE,
                queryClass.deduplicationScope(),
                0,
                queryClass.priorityWeight(),
                queryClass.lateWeightFraction(),
                queryClass.ordered(),
                queryClass.engineKinds(),
                queryClass.zones(),
                queryClass.threads(),
                queryClass.locksTables(),
                queryClass.waitsForTableLocks());
    }
}
