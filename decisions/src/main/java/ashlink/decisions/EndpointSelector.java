package ashlink.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the engine of the next attempt: the less loaded of two random ones ("power of two
 * choices") that the rules, outlier ejection, concurrency limits and placement leave.
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
     * Returns the engine for the next attempt of the query; null if there is none, or if the choice
     * waits for health checks.
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

    /** Returns the engines that all filters leave, in a new list. */
    private List<EngineState> candidates(QueryState query, long nowNs) {
        List<EngineState> eligible = new ArrayList<>(engines.all());
        eligible.removeIf(engine -> !eligibility.mayStart(query, engine, nowNs));
        List<EngineState> healthy = new ArrayList<>(eligible);
        healthy.removeIf(engine -> engine.isEjected(nowNs));
        // If most engines are ejected the cause is a common one, and ejection would not help.
        List<EngineState> candidates = healthy.size() * 2 >= eligible.size() ? healthy : eligible;
        candidates.removeIf(engine -> !limiter.hasCapacity(query, engine, nowNs));
        removeLastEngine(query, candidates);
        placement.filter(query, candidates);
        return candidates;
    }

    /** A retry goes to another engine than the last attempt if there is one. */
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
