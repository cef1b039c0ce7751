package ashlink.decisions;

import ashlink.decisions.api.QueryClass;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;

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

    /**
     * Groups and engines to remember over all table groups. Clients name the groups, so the groups
     * themselves have no limit.
     */
    static final int MAX_CACHED_ENGINES = 32_768;

    private final EngineDirectory engines;

    /** Whether there are both locking classes and classes that wait for table locks. */
    private final boolean enabled;

    /** An engine and its rank for one table group. */
    private record RankedEngine(long hash, EngineState engine) {}

    /**
     * Engines used by the queries that lock a table group, by table group, least recently used
     * first. A group that was removed is computed again with the same result.
     */
    private final Map<Long, Set<EngineState>> lockingEngines = new LinkedHashMap<>(16, 0.75f, true);

    private int cachedEngines;

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
        Set<EngineState> locking = lockingEnginesOf(query.tableGroup);
        Predicate<EngineState> preferred = engine -> locking.contains(engine) == locks;
        if (candidates.stream().anyMatch(preferred)) {
            candidates.removeIf(preferred.negate());
        }
    }

    private Set<EngineState> lockingEnginesOf(long tableGroup) {
        Set<EngineState> cached = lockingEngines.get(tableGroup);
        if (cached != null) {
            return cached;
        }
        Set<EngineState> selected = selectLockingEngines(tableGroup);
        lockingEngines.put(tableGroup, selected);
        cachedEngines += weight(selected);
        removeLeastRecentlyUsed();
        return selected;
    }

    private void removeLeastRecentlyUsed() {
        Iterator<Set<EngineState>> oldestFirst = lockingEngines.values().iterator();
        while (cachedEngines > MAX_CACHED_ENGINES && lockingEngines.size() > 1) {
            cachedEngines -= weight(oldestFirst.next());
            oldestFirst.remove();
        }
    }

    /** Counts the group itself as well, because a fleet may have no engine that is ready. */
    private static int weight(Set<EngineState> groupEngines) {
        return 1 + groupEngines.size();
    }

    private Set<EngineState> selectLockingEngines(long tableGroup) {
        List<EngineState> ready = engines.ready();
        return ready.stream()
                .map(engine -> new RankedEngine(hash(engine, tableGroup), engine))
                .sorted(
                        Comparator.comparingLong(RankedEngine::hash)
                                .thenComparing(ranked -> ranked.engine().name))
                .limit((long) Math.ceil(LOCKING_FRACTION * ready.size()))
                .map(RankedEngine::engine)
                .collect(Collectors.toSet());
    }

    private static long hash(EngineState engine, long tableGroup) {
        return new SplittableRandom(HASH_FACTOR * engine.name.hashCode() + tableGroup).nextLong();
    }

    /** Discards the computed placement. Called after the endpoint list has changed. */
    void reset() {
        lockingEngines.clear();
        cachedEngines = 0;
    }

    /** Returns the number of groups and engines that are remembered over all table groups. */
    int cachedEngines() {
        return cachedEngines;
    }
}
