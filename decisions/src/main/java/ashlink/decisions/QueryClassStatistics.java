package ashlink.decisions;

import ashlink.decisions.api.QueryClass;

/**
 * What was measured of the queries of one class: how their response times relate to the estimates,
 * and their mean work. Work is in milliseconds on one thread.
 */
final class QueryClassStatistics {

    /** Least weight of a new value in the mean of a class. */
    private static final double MEAN_WEIGHT = 0.02;

    /** Number of queries that the prior counts as. */
    private static final int PRIOR_QUERIES = 10;

    /** Quantile of the response times that counts as expected. */
    private static final double EXPECTED_QUANTILE = 0.25;

    /** Step of the quantile trackers, in logarithms. */
    private static final double QUANTILE_STEP_LOG = 0.05;

    /** Logarithm of the upper over the lower quartile up to which response times are consistent. */
    private static final double CONSISTENT_SPREAD_LOG = Math.log(2);

    /** Least value that a logarithm or a quotient is taken of. */
    private static final double SMALLEST = 1e-3;

    final QueryClass spec;

    /** Logarithm of the lower quartile of response time x threads / estimate. */
    private double expectedLog;

    /** Logarithm of the upper over the lower quartile. */
    private double spreadLog;

    private int unestimatedResponses;
    private double meanEstimateMs;
    private int estimates;
    private double meanReportedWorkMs;
    private int reportedWorks;

    /** Needed over estimated memory. */
    private double memoryBias = 1;

    private int memorySamples;

    QueryClassStatistics(QueryClass spec) {
        this.spec = spec;
    }

    /** Records the estimate of a submitted query. */
    void recordEstimate(double estimateMs) {
        double weight = Math.max(MEAN_WEIGHT, 1.0 / ++estimates);
        meanEstimateMs += weight * (estimateMs - meanEstimateMs);
    }

    /** Records the work that an engine reported for a query. */
    void recordWork(double workMs) {
        double weight = Math.max(MEAN_WEIGHT, 1.0 / ++reportedWorks);
        meanReportedWorkMs += weight * (workMs - meanReportedWorkMs);
    }

    /**
     * Moves the quartiles towards a response.
     *
     * @param responseLog logarithm of response time x threads / estimate
     * @param hasEstimate whether the query came with an estimate; without one the first responses
     *     move the quartiles faster
     */
    void recordResponse(double responseLog, boolean hasEstimate) {
        double step =
                hasEstimate
                        ? QUANTILE_STEP_LOG
                        : Math.max(QUANTILE_STEP_LOG, 1.0 / ++unestimatedResponses);
        double upperLog = expectedLog + spreadLog;
        expectedLog +=
                step * (responseLog < expectedLog ? EXPECTED_QUANTILE - 1 : EXPECTED_QUANTILE);
        upperLog += step * (responseLog < upperLog ? -EXPECTED_QUANTILE : 1 - EXPECTED_QUANTILE);
        spreadLog = Math.max(0, upperLog - expectedLog);
    }

    /**
     * Moves the memory bias towards the need of a query.
     *
     * @param excessLog logarithm of the need over the biased estimate
     * @param stepLog step that the estimator takes for it; the first excess is taken at once
     */
    void recordMemory(double excessLog, double stepLog) {
        boolean first = memorySamples++ == 0;
        memoryBias *= Math.exp(first && excessLog > 0 ? excessLog : stepLog);
    }

    double memoryBias() {
        return memoryBias;
    }

    double expectedLog() {
        return expectedLog;
    }

    /** Returns the estimate corrected by the measured response times. */
    double correctedMs(double estimateMs) {
        return estimateMs * Math.exp(expectedLog);
    }

    /** Returns the mean work of the class, rather too high than too low. */
    double meanWorkMs() {
        double estimatedMs = meanEstimateMs * Math.max(1, Math.exp(expectedLog));
        return estimates + reportedWorks == 0
                ? priorWorkMs()
                : Math.max(estimatedMs, meanReportedWorkMs);
    }

    /** Returns the work with which a query of the class just meets its latency objective. */
    double priorWorkMs() {
        return (double) spec.latencyObjectiveNs() / Nanos.PER_MS * spec.threads();
    }

    /** Returns the mean work, weighed with the prior while few queries were seen. */
    double conservativeWorkMs() {
        int seen = estimates + reportedWorks;
        return (PRIOR_QUERIES * priorWorkMs() + seen * meanWorkMs()) / (PRIOR_QUERIES + seen);
    }

    /**
     * Returns how much a slow response says about its engine, from 0 to 1: less for a class whose
     * response times scatter. It is 1 as long as only estimates are known, because slow engines may
     * be the cause of the scatter.
     */
    double consistency() {
        boolean onlyEstimates = estimates > 0 && reportedWorks == 0;
        return onlyEstimates
                ? 1
                : Math.min(1, CONSISTENT_SPREAD_LOG / Math.max(SMALLEST, spreadLog));
    }
}
