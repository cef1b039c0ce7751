package ashlink.decisions;

import ashlink.decisions.api.Capabilities;

/**
 * Determines the memory grant of an attempt, in MB: the estimate of the query, corrected by the
 * memory needs reported for its class, such that the grant is sufficient for three queries in four.
 */
final class MemoryGrantEstimator {

    /** Ratio of granted to needed memory. */
    private static final double MARGIN_FACTOR = 1.1;

    /** Step size of the quantile estimator, on a logarithmic scale. */
    private static final double STEP_LOG = 0.1;

    /** Quantile of the memory needs that the corrected estimate covers. */
    private static final double NEED_QUANTILE = 0.75;

    /** Lower bound of the argument of a logarithm. */
    private static final double EPSILON = 1e-3;

    /** Ratio of needed to granted memory above which a spilling query is restarted. */
    private static final double RESTART_FACTOR = 1.3;

    private final Capabilities capabilities;

    MemoryGrantEstimator(Capabilities capabilities) {
        this.capabilities = capabilities;
    }

    /**
     * Returns the memory grant for an attempt that starts, in MB; 0 leaves the grant to the engine.
     */
    long grantForAttemptMb(QueryState query, EngineState engine) {
        return capabilities.memoryGrants() && query.estimatedMemoryMb > 0
                ? grantMb(query, engine)
                : 0;
    }

    /** Returns whether a restart with the needed memory would raise the grant considerably. */
    boolean isGrantTooSmall(QueryState query) {
        return grantMb(query, query.engine) > RESTART_FACTOR * query.grantMb;
    }

    private long grantMb(QueryState query, EngineState engine) {
        double largestMb =
                engine.memoryMb > 0
                        ? capabilities.maxGrantFraction() * engine.memoryMb
                        : Double.MAX_VALUE;
        double neededMb =
                query.neededMemoryMb > 0
                        ? query.neededMemoryMb
                        : query.estimatedMemoryMb * query.statistics.memoryBias();
        return Math.max(1, Math.round(Math.min(largestMb, neededMb * MARGIN_FACTOR)));
    }

    /**
     * Records that the running attempt spills to disk.
     *
     * @param query the query of the attempt
     * @param neededMb memory that the query needs in total, in MB
     */
    void recordSpill(QueryState query, double neededMb) {
        if (query.neededMemoryMb == 0 && query.grantMb > 0) {
            updateStatistics(query, neededMb);
        }
        query.neededMemoryMb = Math.max(query.neededMemoryMb, neededMb);
    }

    /**
     * Records the completion of a served attempt.
     *
     * @param query the query of the attempt
     * @param reportedMb memory that the query needed, in MB; 0 if unknown
     */
    void recordCompletion(QueryState query, double reportedMb) {
        if (query.grantMb > 0 && query.neededMemoryMb == 0) {
            updateStatistics(query, reportedMb > 0 ? reportedMb : 0);
        }
    }

    private static void updateStatistics(QueryState query, double neededMb) {
        double ratio = neededMb / query.estimatedMemoryMb / query.statistics.memoryBias();
        double excessLog = Math.log(Math.max(EPSILON, ratio));
        double stepLog = STEP_LOG * (excessLog > 0 ? NEED_QUANTILE : NEED_QUANTILE - 1);
        query.statistics.recordMemory(excessLog, stepLog);
    }
}
