package ashlink.decisions;

import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.SetTimer;

/**
 * Performs the periodic work of the workload manager, at a fixed interval independent of other
 * events.
 */
final class MaintenanceTask {

    /** Label of the timer that triggers a run. */
    static final long TIMER_LABEL = 1;

    static final long INTERVAL_NS = 50 * Nanos.PER_MS;

    /**
     * Second part of the log line; the text is part of the recorded transcripts and must not
     * change.
     */
    private static final String UNRESPONSIVE_LOG_SUFFIX =
            ": it takes queries and gives no sign of them";

    private final EngineDirectory engines;
    private final RetryBudget retryBudget;
    private final FleetLoadEstimator fleetLoad;
    private final OverloadDetector overload;
    private final ConcurrencyLimiter limiter;
    private final ConcurrencyFeedback feedback;
    private final HealthCheckScheduler healthChecks;
    private final LoadSheddingPolicy loadShedding;
    private final KeyOrdering keyOrdering;
    private final QueryRestartPolicy restartPolicy;
    private final OutlierDetector outliers;
    private final AttemptCanceller canceller;
    private final ActionBuffer actions;

    MaintenanceTask(
            EngineDirectory engines,
            RetryBudget retryBudget,
            FleetLoadEstimator fleetLoad,
            OverloadDetector overload,
            ConcurrencyLimiter limiter,
            ConcurrencyFeedback feedback,
            HealthCheckScheduler healthChecks,
            LoadSheddingPolicy loadShedding,
            KeyOrdering keyOrdering,
            QueryRestartPolicy restartPolicy,
            OutlierDetector outliers,
            AttemptCanceller canceller,
            ActionBuffer actions) {
        this.engines = engines;
        this.retryBudget = retryBudget;
        this.fleetLoad = fleetLoad;
        this.overload = overload;
        this.limiter = limiter;
        this.feedback = feedback;
        this.healthChecks = healthChecks;
        this.loadShedding = loadShedding;
        this.keyOrdering = keyOrdering;
        this.restartPolicy = restartPolicy;
        this.outliers = outliers;
        this.canceller = canceller;
        this.actions = actions;
    }

    /** Sets the timer for the next run. */
    void schedule(long nowNs) {
        actions.add(new SetTimer(TIMER_LABEL, nowNs + INTERVAL_NS));
    }

    /** Performs the periodic work and schedules the next run. */
    void run(long nowNs) {
        schedule(nowNs);
        retryBudget.removeExpired(nowNs);
        fleetLoad.update(engines.all(), nowNs);
        overload.update(engines.all(), nowNs);
        limiter.drawAdmissionRandom();
        healthChecks.creditInterval();
        loadShedding.review(nowNs);
        keyOrdering.removeIdle(nowNs);
        engines.removeUnused();
        for (EngineState engine : engines.all()) {
            maintain(engine, nowNs);
        }
    }

    private void maintain(EngineState engine, long nowNs) {
        healthChecks.checkInBackground(engine, nowNs);
        engine.releaseExpired(nowNs);
        feedback.closePeriodIfComplete(engine.limit, nowNs);
        for (QueryState query : engine.runningQueries) {
            restartPolicy.restartIfOverdue(query, nowNs);
        }
        if (outliers.ejectIfUnresponsive(engine, nowNs)) {
            onUnresponsive(engine);
        }
    }

    /**
     * Logs the ejection and cancels the queries that may run again, so that other engines can run
     * them.
     */
    private void onUnresponsive(EngineState engine) {
        actions.add(new Log("avoiding " + engine.name + UNRESPONSIVE_LOG_SUFFIX));
        for (QueryState query : engine.runningQueries) {
            if (canceller.mayCancel(query)) {
                canceller.cancel(query);
            }
        }
    }
}
