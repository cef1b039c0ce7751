package ashlink.config;

import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.LinkedHashMap;
import java.util.Map;

/** Creates the at-most-once variants of query classes; see {@link RouterConfig#allQueryClasses}. */
final class AtMostOnceVariants {

    private AtMostOnceVariants() {}

    /** Returns the classes by name in their order, followed by the variants of the classes. */
    static Map<String, QueryClass> addTo(Map<String, QueryClass> classes) {
        Map<String, QueryClass> all = new LinkedHashMap<>(classes);
        for (QueryClass queryClass : classes.values()) {
            if (isNeeded(queryClass)) {
                String name = RouterConfig.atMostOnceName(queryClass.name());
                all.put(name, create(name, queryClass));
            }
        }
        return all;
    }

    /** Returns whether a class may be retried and is restricted to some engine kinds or zones. */
    private static boolean isNeeded(QueryClass queryClass) {
        return queryClass.retrySafety() != RetrySafety.AT_MOST_ONCE
                && !(queryClass.engineKinds().isEmpty() && queryClass.zones().isEmpty());
    }

    /** Returns a copy of a class; the copy is never retried and has no deduplication window. */
    private static QueryClass create(String name, QueryClass queryClass) {
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
