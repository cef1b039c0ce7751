package ashlink.decisions;

import ashlink.decisions.api.QueryClass;

/**
 * Statistics of one query class: the ratio of response times to estimates, and the mean work. Work
 * is measured in milliseconds on one thread.
 */
final class QueryClassStatistics {

    /** Smallest weight of a new value in the moving averages of the class. */
    private static final double MEAN_WEIGHT = 0.02;

    /** Number of queries that the prior value counts for. */
    private static final int PRIOR_QUERIES = 10;

    /** Quantile of the response times that is the expected response time. */
    private static final double EXPECTED_QUANTILE = 0.25;

    /** Step size of the quantile estimators, on a logarithmic scale. */
    private static final double QUANTILE_STEP_LOG = 0.05;

    /**
     * Logarithm of the ratio of upper to lower quartile up to which response times count as
     * consistent.
     */
    private static final double CONSISTENT_SPREAD_LOG = Math.log(2);

    /** Lower bound of arguments of a logarithm and of divisors. */
    private static final double EPSILON = 1e-3;

    final QueryClass queryClass;

    /** Logarithm of the lower quartile of (response time x threads / estimate). */
    private double expectedLog;

    /** Logarithm of the ratio of upper to lower quartile. */
    private double spreadLog;

    private int responsesWithoutEstimate;
    private double meanEstimateMs;
    private int estimateSamples;
    private double meanReportedWorkMs;
    private int reportedWorkSamples;

    /** Ratio of needed to estimated memory. */
    private double memoryBias = 1;

    private int memorySamples;

    QueryClassStatistics(QueryClass queryClass) {
        this.queryClass = queryClass;
    }

    /** Records the work estimate of a submitted query. */
    void recordEstimate(double estimateMs) {
        double weight = Math.max(MEAN_WEIGHT, 1.0 / ++estimateSamples);
        meanEstimateMs += weight * (estimateMs - meanEstimateMs);
    }

    /** Records the work of a query as reported by an engine. */
    void recordWork(double workMs) {
        double weight = Math.max(MEAN_WEIGHT, 1.0 / ++reportedWorkSamples);
        meanReportedWorkMs += weight * (workMs - meanReportedWorkMs);
    }

    /**
     * Updates the quartile estimates with a response.
     *
     * @param responseLog logarithm of (response time x threads / estimate)
     * @param hasEstimate whether the query was submitted with an estimate; without estimates the
     *     first responses have a larger step size
     */
    void recordResponse(double responseLog, boolean hasEstimate) {
        double step =
                hasEstimate
                        ? QUANTILE_STEP_LOG
                        : Math.max(QUANTILE_STEP_LOG, 1.0 / ++responsesWithoutEstimate);
        double upperLog = expectedLog + spreadLog;
        expectedLog +=
                step * (responseLog < expectedLog ? EXPECTED_QUANTILE - 1 : EXPECTED_QUANTILE);
        upperLog += step * (responseLog < upperLog ? -EXPECTED_QUANTILE : 1 - EXPECTED_QUANTILE);
        spreadLog = Math.max(0, upperLog - expectedLog);
    }

    /**
     * Updates the memory bias with the memory need of a query.
     *
     * @param excessLog logarithm of the ratio of the need to the corrected estimate
     * @param stepLog step for the update; a first need above the estimate is applied in full
     *     instead
     */
    void recordMemory(double excessLog, double stepLog) {
        boolean isFirst = memorySamples++ == 0;
        memoryBias *= Math.exp(isFirst && excessLog > 0 ? excessLog : stepLog);
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

    /** Returns the mean work of the class; of the estimated and the reported mean, the higher. */
    double meanWorkMs() {
        double estimatedMs = meanEstimateMs * Math.max(1, Math.exp(expectedLog));
        return estimateSamples + reportedWorkSamples == 0
                ? priorWorkMs()
                : Math.max(estimatedMs, meanReportedWorkMs);
    }

    /**
     * Returns the prior value of the work: the work with which a query just meets its latency
     * objective.
     */
    double priorWorkMs() {
        return (double) queryClass.latencyObjectiveNs() / Nanos.PER_MS * queryClass.threads();
    }

    /**
     * Returns the weighted average of mean work and prior value; the weight of the prior falls as
     * more queries are recorded.
     */
    double conservativeWorkMs() {
        int samples = estimateSamples + reportedWorkSamples;
        return (PRIOR_QUERIES * priorWorkMs() + samples * meanWorkMs()) / (PRIOR_QUERIES + samples);
    }

    /**
     * Returns how strongly a slow response indicates a slow engine, from 0 to 1. The value is lower
     * for a class whose response times vary widely. It is 1 while only estimates are known, because
     * then slow engines may be the cause of the variation.
     */
    double consistency() {
        boolean onlyEstimates = estimateSamples > 0 && reportedWorkSamples == 0;
        return onlyEstimates
                ? 1
                : Math.min(1, CONSISTENT_SPREAD_LOG / Math.max(EPSILON, spreadLog));
    }
}
