package ashlink.decisions;

import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.util.List;

/**
 * Sends health checks to obtain recent load reports: before selecting between engines with stale
 * reports, and periodically in the background. Each check costs a credit; credits accrue with
 * submitted queries and with time, so that health checks do not outnumber queries.
 */
final class HealthCheckScheduler {

    /** Label of the timer that ends the wait for health check results. */
    static final long TIMER_LABEL = 2;

    private static final double CREDITS_PER_QUERY = 1;
    private static final double CREDITS_PER_INTERVAL = 0.05;
    private static final double MAX_CREDITS = 20;

    /**
     * Credits reserved for long queries: with fewer credits, no checks are sent in the background
     * or for short queries.
     */
    private static final double RESERVED_CREDITS = MAX_CREDITS / 2;

    /** Longest time for which a query waits for the results of its health checks. */
    private static final long WAIT_NS = 20 * Nanos.PER_MS;

    private final boolean enabled;
    private final ShortQueryClassifier shortQueries;
    private final ActionBuffer actions;
    private double credits = MAX_CREDITS;

    HealthCheckScheduler(boolean enabled, ShortQueryClassifier shortQueries, ActionBuffer actions) {
        this.enabled = enabled;
        this.shortQueries = shortQueries;
        this.actions = actions;
    }

    /** Adds the credit earned by a submitted query. */
    void creditQuery() {
        credits = Math.min(MAX_CREDITS, credits + CREDITS_PER_QUERY);
    }

    /** Adds the credit earned in a maintenance interval. */
    void creditInterval() {
        credits = Math.min(MAX_CREDITS, credits + CREDITS_PER_INTERVAL);
    }

    /** Returns whether the query still waits for the results of its health checks. */
    boolean isWaiting(QueryState query, long nowNs) {
        if (query.checkedCandidates.isEmpty() || nowNs >= query.checkDeadlineNs) {
            return false;
        }
        for (EngineState engine : query.checkedCandidates) {
            if (engine.healthCheckPending) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks those of the two candidates whose load report is stale.
     *
     * @return whether the selection is postponed: until the results arrive or, for a long query,
     *     until there are enough credits
     */
    boolean checkCandidates(QueryState query, EngineState first, EngineState second, long nowNs) {
        if (!enabled || !first.hasStaleReport(nowNs) && !second.hasStaleReport(nowNs)) {
            return false;
        }
        List<EngineState> candidates = List.of(first, second);
        boolean isShort = shortQueries.isShort(query);
        if (credits < (isShort ? RESERVED_CREDITS : candidates.size())) {
            return !isShort;
        }
        for (EngineState engine : candidates) {
            if (engine.hasStaleReport(nowNs) && !engine.healthCheckPending) {
                check(engine, nowNs);
            }
        }
        query.checkedCandidates = candidates;
        query.checkDeadlineNs = nowNs + WAIT_NS;
        actions.add(new SetTimer(TIMER_LABEL, query.checkDeadlineNs));
        return true;
    }

    /**
     * Checks a ready engine that was not checked recently, if at least the reserved credits are
     * available.
     */
    void checkInBackground(EngineState engine, long nowNs) {
        if (enabled
                && engine.isReady()
                && !engine.healthCheckPending
                && credits >= RESERVED_CREDITS
                && nowNs - engine.lastHealthCheckNs >= EngineState.STALE_NS) {
            check(engine, nowNs);
        }
    }

    private void check(EngineState engine, long nowNs) {
        credits--;
        engine.healthCheckPending = true;
        engine.lastHealthCheckNs = nowNs;
        actions.add(new CheckHealth(engine.name));
    }

    /** Records the result of a health check; only a served check delivers a load report. */
    void recordResult(EngineState engine, Outcome outcome, LoadReport report, long nowNs) {
        if (outcome == Outcome.SERVED) {
            engine.recordReport(report, nowNs);
        }
        engine.healthCheckPending = false;
    }
}
