package ashlink.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Selects the engine for the next attempt of a query: the less loaded of two random candidates
 * ("power of two choices"). The candidates are the engines left by eligibility, outlier ejection,
 * concurrency limits and table group placement.
 */
final class EndpointSelector {

    private final SplittableRandom random;
    private final EngineDirectory engines;
    private final DispatchEligibility eligibility;
    private final ConcurrencyLimiter limiter;
    private final TableGroupPlacement placement;
    private final HealthCheckScheduler healthChecks;
    private final EngineLoadScore loadScore;

    EndpointSelector(
            SplittableRandom random,
            EngineDirectory engines,
            DispatchEligibility eligibility,
            ConcurrencyLimiter limiter,
            TableGroupPlacement placement,
            HealthCheckScheduler healthChecks,
            EngineLoadScore loadScore) {
        this.random = random;
        this.engines = engines;
        this.eligibility = eligibility;
        this.limiter = limiter;
        this.placement = placement;
        this.healthChecks = healthChecks;
        this.loadScore = loadScore;
    }

    /**
     * Returns the engine for the next attempt of the query; null if no engine is available or the
     * selection waits for health checks.
     */
    EngineState select(QueryState query, long nowNs) {
        if (healthChecks.isWaiting(query, nowNs)) {
            return null;
        }
        List<EngineState> candidates = candidates(query, nowNs);
        boolean isChecked = !query.checkedCandidates.isEmpty();
        if (isChecked) {
            candidates.retainAll(query.checkedCandidates);
            query.checkedCandidates = List.of();
        }
        if (candidates.isEmpty()) {
            return null;
        }
        int count = candidates.size();
        EngineState first = candidates.remove(random.nextInt(count));
        if (count == 1) {
            return first;
        }
        EngineState second = candidates.get(random.nextInt(count - 1));
        if (!isChecked && healthChecks.checkCandidates(query, first, second, nowNs)) {
            return null;
        }
        return lessLoaded(first, second, query, nowNs);
    }

    /** Returns a new list of the engines that pass all filters. */
    private List<EngineState> candidates(QueryState query, long nowNs) {
        List<EngineState> eligible = new ArrayList<>(engines.all());
        eligible.removeIf(engine -> !eligibility.mayStart(query, engine, nowNs));
        List<EngineState> healthy = new ArrayList<>(eligible);
        healthy.removeIf(engine -> engine.isEjected(nowNs));
        // If most engines are ejected, they have a common cause, and ejection would not help.
        List<EngineState> candidates = healthy.size() * 2 >= eligible.size() ? healthy : eligible;
        candidates.removeIf(engine -> !limiter.hasCapacity(query, engine, nowNs));
        removeLastEngine(query, candidates);
        placement.filter(query, candidates);
        return candidates;
    }

    /**
     * Removes the engine of the previous attempt, so that a retry uses another engine if there is
     * one.
     */
    private static void removeLastEngine(QueryState query, List<EngineState> candidates) {
        if (query.attempts == 0) {
            return;
        }
        Predicate<EngineState> isLast = engine -> engine.name.equals(query.lastEndpoint.engine());
        if (!candidates.stream().allMatch(isLast)) {
            candidates.removeIf(isLast);
        }
    }

    private EngineState lessLoaded(
            EngineState first, EngineState second, QueryState query, long nowNs) {
        if (first.healthCheckPending != second.healthCheckPending) {
            return first.healthCheckPending ? second : first;
        }
        return loadScore.score(second, query, nowNs) < loadScore.score(first, query, nowNs)
                ? second
                : first;
    }
}
