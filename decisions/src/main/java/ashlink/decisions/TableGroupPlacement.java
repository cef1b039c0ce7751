package ashlink.decisions;

import ashlink.decisions.api.QueryClass;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Separates queries that lock a table group from queries that wait for the locks. All routers hash
 * a table group to the same half of the engines for the locking queries; the waiting queries use
 * the other half. This is only a preference: if no candidate is in the preferred half, all
 * candidates are kept.
 */
final class TableGroupPlacement {

    /** Fraction of the engines used by the queries that lock a table group. */
    private static final double LOCKING_FRACTION = 0.5;

    private static final long HASH_FACTOR = 31L;

    private final EngineDirectory engines;

    /** Whether there are both locking classes and classes that wait for table locks. */
    private final boolean enabled;

    /** Engines used by the queries that lock a table group, by table group. */
    private final Map<Long, List<EngineState>> lockingEngines = new HashMap<>();

    TableGroupPlacement(EngineDirectory engines, List<QueryClass> classes) {
        this.engines = engines;
        this.enabled =
                classes.stream().anyMatch(QueryClass::locksTables)
                        && classes.stream().anyMatch(QueryClass::waitsForTableLocks);
    }

    /** Removes the candidates outside the preferred half, unless no candidate would be left. */
    void filter(QueryState query, List<EngineState> candidates) {
        boolean locks = query.queryClass.locksTables();
        if (!enabled || !locks && !query.queryClass.waitsForTableLocks()) {
            return;
        }
        List<EngineState> locking =
                lockingEngines.computeIfAbsent(query.tableGroup, this::lockingEnginesOf);
        Predicate<EngineState> preferred = engine -> locking.contains(engine) == locks;
        if (candidates.stream().anyMatch(preferred)) {
            candidates.removeIf(preferred.negate());
        }
    }

    private List<EngineState> lockingEnginesOf(long tableGroup) {
        List<EngineState> ready = engines.ready();
        ready.sort(
                Comparator.comparingLong((EngineState engine) -> hash(engine, tableGroup))
                        .thenComparing(engine -> engine.name));
        return ready.subList(0, (int) Math.ceil(LOCKING_FRACTION * ready.size()));
    }

    private static long hash(EngineState engine, long tableGroup) {
        return new SplittableRandom(HASH_FACTOR * engine.name.hashCode() + tableGroup).nextLong();
    }

    /** Discards the computed placement. Called after the endpoint list has changed. */
    void reset() {
        lockingEngines.clear();
    }
}
