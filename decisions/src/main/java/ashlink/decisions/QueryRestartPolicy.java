package ashlink.decisions;

/**
 * Restarts running queries that a new attempt is expected to complete sooner: queries with a bad
 * execution plan, and queries that spill because their memory grant is too small.
 */
final class QueryRestartPolicy {

    /** Ratio of predicted to normal duration above which a query is taken to have a bad plan. */
    private static final double BAD_PLAN_FACTOR = 4;

    /** Ratio of remaining time to the duration of a new attempt above which a restart pays off. */
    private static final double REMAINING_FACTOR = 2;

    /** Maximum number of restarts of one query because of a bad plan. */
    private static final int MAX_RESTARTS = 2;

    /** Fraction of its expected duration up to which a spilling query is restarted. */
    private static final double MAX_SPILL_PROGRESS_FRACTION = 0.2;

    private final long progressIntervalNs;
    private final AttemptCanceller canceller;
    private final MemoryGrantEstimator memoryGrants;
    private final ResponseTimeModel responseTimes;
    private final ShortQueryClassifier shortQueries;

    /**
     * Creates a policy.
     *
     * @param progressIntervalNs interval of progress messages; 0 if there are none
     */
    QueryRestartPolicy(
            long progressIntervalNs,
            AttemptCanceller canceller,
            MemoryGrantEstimator memoryGrants,
            ResponseTimeModel responseTimes,
            ShortQueryClassifier shortQueries) {
        this.progressIntervalNs = progressIntervalNs;
        this.canceller = canceller;
        this.memoryGrants = memoryGrants;
        this.responseTimes = responseTimes;
        this.shortQueries = shortQueries;
    }

    /**
     * Handles a report that the running attempt spills to disk.
     *
     * @param neededMb memory that the query needs in total, in MB
     */
    void onSpill(QueryState query, double neededMb, long nowNs) {
        memoryGrants.recordSpill(query, neededMb);
        if (canceller.mayCancel(query)
                && memoryGrants.isGrantTooSmall(query)
                && nowNs - query.workingSinceNs
                        < MAX_SPILL_PROGRESS_FRACTION * query.expectedDurationNs()) {
            canceller.cancel(query);
        }
    }

    /**
     * Handles a progress report. Restarts the query if the remaining time is much longer than a new
     * attempt would take at the current slowness of the engine.
     *
     * @param fractionDone completed fraction of the work, greater than 0
     */
    void onProgress(QueryState query, double fractionDone, long nowNs) {
        long elapsedNs = nowNs - query.workingSinceNs;
        double remainingNs = elapsedNs * (1 - fractionDone) / fractionDone;
        double slownessLog =
                Math.max(
                        responseTimes.fleetSlownessLog(),
                        responseTimes.slownessLog(query.engine, nowNs));
        double newAttemptNs = query.expectedDurationNs() * Math.exp(Math.max(0, slownessLog));
        if (remainingNs + elapsedNs > BAD_PLAN_FACTOR * newAttemptNs
                && remainingNs > REMAINING_FACTOR * newAttemptNs
                && nowNs + newAttemptNs < query.deadlineNs) {
            restart(query);
        }
    }

    /**
     * Restarts a long query that runs much longer than expected and has missed its latency
     * objective. Applies only if engines send no progress messages.
     */
    void restartIfOverdue(QueryState query, long nowNs) {
        if (progressIntervalNs != 0
                || nowNs <= query.objectiveEndNs()
                || shortQueries.isShort(query)) {
            return;
        }
        double slownessLog =
                Math.max(0, responseTimes.fleetSlownessLog() - ResponseTimeModel.SLOW_LOG);
        double limitLog =
                (Math.log(BAD_PLAN_FACTOR) + slownessLog) / query.statistics.consistency();
        if (nowNs - query.attemptStartNs > query.expectedDurationNs() * Math.exp(limitLog)) {
            restart(query);
        }
    }

    private void restart(QueryState query) {
        if (canceller.mayCancel(query) && query.restarts < MAX_RESTARTS) {
            query.restarts++;
            canceller.cancel(query);
        }
    }
}
