package ashlink.decisions;

import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;

/**
 * Handles the events of attempts: forwards progress messages and updates all state when an attempt
 * ends.
 */
final class AttemptHandler {

    /**
     * Fraction of its elapsed time for which an abandoned attempt still counts as load of its
     * engine if the attempt cannot be cancelled. Without it, an engine that still runs such
     * attempts would look idle.
     */
    private static final double ABANDONED_FRACTION = 0.5;

    private final boolean cancellationSupported;
    private final EngineDirectory engines;
    private final ActiveQueries queries;
    private final AdmissionQueue queue;
    private final KeyOrdering keyOrdering;
    private final RetryPolicy retryPolicy;
    private final QueryCompletion completion;
    private final OutlierDetector outliers;
    private final CompletionRecorder recorder;
    private final QueryRestartPolicy restartPolicy;

    AttemptHandler(
            boolean cancellationSupported,
            EngineDirectory engines,
            ActiveQueries queries,
            AdmissionQueue queue,
            KeyOrdering keyOrdering,
            RetryPolicy retryPolicy,
            QueryCompletion completion,
            OutlierDetector outliers,
            CompletionRecorder recorder,
            QueryRestartPolicy restartPolicy) {
        this.cancellationSupported = cancellationSupported;
        this.engines = engines;
        this.queries = queries;
        this.queue = queue;
        this.keyOrdering = keyOrdering;
        this.retryPolicy = retryPolicy;
        this.completion = completion;
        this.outliers = outliers;
        this.recorder = recorder;
        this.restartPolicy = restartPolicy;
    }

    /** Handles a progress message; a message of any attempt but the one in flight is ignored. */
    void onProgress(AttemptProgress progress, long nowNs) {
        QueryState query = queries.find(progress.id());
        EngineState engine = engines.find(progress.engine());
        if (query == null
                || query.engine != engine
                || !query.isAttemptInFlight(progress.attempt())) {
            return;
        }
        engine.lastActivityNs = nowNs;
        switch (progress.kind()) {
            case WAITING -> query.workingSinceNs = nowNs;
            case SPILLED_MB ->
                    restartPolicy.onSpill(query, query.grantMb + progress.amount(), nowNs);
            case FRACTION_DONE -> {
                if (progress.amount() > 0) {
                    restartPolicy.onProgress(query, progress.amount(), nowNs);
                }
            }
            default ->
                    throw new IllegalArgumentException(
                            "unsupported progress kind: " + progress.kind());
        }
    }

    /**
     * Handles the end of an attempt. The state of the engine is updated for every attempt, the
     * state of the query only for the attempt in flight.
     *
     * @return the engine that ran the attempt in flight; null if the attempt was not in flight
     */
    EngineState onEnded(AttemptEnded ended, long nowNs) {
        recordEngineOutcome(ended, nowNs);
        QueryState query = queries.find(ended.id());
        if (query == null || !query.isAttemptInFlight(ended.attempt())) {
            return null;
        }
        EngineState engine = query.engine;
        engine.runningQueries.remove(query);
        query.engine = null;
        if (ended.outcome() == Outcome.SERVED) {
            recorder.record(query, engine, ended, nowNs);
        }
        retryPolicy.recordOutcome(query, ended.outcome());
        releaseLoad(query, engine, ended.outcome(), nowNs);
        query.finished |= ended.clientAnswered();
        retryOrFinish(query, nowNs);
        return engine;
    }

    private void recordEngineOutcome(AttemptEnded ended, long nowNs) {
        EngineState engine = engines.find(ended.engine());
        if (engine == null) {
            return;
        }
        if (!ended.loadReport().equals(LoadReport.NONE)) {
            engine.recordReport(ended.loadReport(), nowNs);
        }
        outliers.recordOutcome(engine, ended.outcome(), nowNs);
    }

    private void releaseLoad(QueryState query, EngineState engine, Outcome outcome, long nowNs) {
        boolean mayStillRun = RetryPolicy.mayStillRun(outcome);
        if (mayStillRun) {
            keyOrdering.pause(query, nowNs);
        }
        long elapsedNs = nowNs - query.attemptStartNs;
        long countedUntilNs =
                mayStillRun && !cancellationSupported
                        ? nowNs + (long) (ABANDONED_FRACTION * elapsedNs)
                        : nowNs;
        engine.abandonedAttempts.add(new AbandonedAttempt(countedUntilNs, query));
        engine.releaseExpired(nowNs);
    }

    /**
     * Queues the query again if a retry is allowed and there is time left; otherwise finishes the
     * query.
     */
    private void retryOrFinish(QueryState query, long nowNs) {
        if (query.finished) {
            completion.removeIfDone(query);
        } else if (retryPolicy.mayRetry(query) && !QueryCompletion.isAnswerDue(query, nowNs)) {
            queue.add(query);
        } else {
            completion.finish(query);
        }
    }
}
