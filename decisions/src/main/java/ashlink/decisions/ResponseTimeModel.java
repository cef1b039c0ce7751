package ashlink.decisions;

import ashlink.decisions.api.Event.AttemptEnded;

/**
 * Models how much slower than expected an engine responds, as a logarithm: the mean over its recent
 * responses and over the running queries that far exceed their expected duration. A single outlier
 * among many queries changes the mean only slightly.
 */
final class ResponseTimeModel {

    /** Logarithm of the ratio of actual to expected time above which a response is slow. */
    static final double SLOW_LOG = Math.log(2.5);

    /** Time constant of the exponential decay of the weight of the responses. */
    private static final long DECAY_NS = 10_000 * Nanos.PER_MS;

    /** Largest weight of the past responses, as a number of responses. */
    private static final double MAX_WEIGHT = 10;

    /** Weight of a new response in the moving average over all engines. */
    private static final double FLEET_WEIGHT = 0.1;

    /** Lower bound of arguments of a logarithm and of divisors. */
    private static final double EPSILON = 1e-3;

    private double fleetSlownessLog;

    /** Returns the mean slowness over all engines, as a logarithm. */
    double fleetSlownessLog() {
        return fleetSlownessLog;
    }

    /**
     * Returns the slowness of an engine, as a logarithm; 0 if the engine is as fast as expected.
     */
    double slownessLog(EngineState engine, long nowNs) {
        double weight = decayedWeight(engine, nowNs);
        double sum = weight * engine.slownessLog;
        for (QueryState query : engine.runningQueries) {
            double elapsedNs = nowNs - query.attemptStartNs + 1.0;
            double excessLog =
                    Math.log(elapsedNs / query.expectedDurationNs())
                            * query.statistics.consistency();
            if (excessLog > SLOW_LOG) {
                sum += excessLog;
                weight++;
            }
        }
        return sum / (weight + 1);
    }

    private static double decayedWeight(EngineState engine, long nowNs) {
        return engine.slownessWeight
                * Math.exp(-(nowNs - engine.lastSlownessNs) / (double) DECAY_NS);
    }

    /**
     * Records a served attempt.
     *
     * @param query the query of the attempt
     * @param engine the engine that ran the attempt
     * @param ended the end of the attempt
     * @param overloaded whether the engine is overloaded; if so, the response time does not update
     *     the expected response time of the class
     * @param nowNs the current time
     */
    void record(
            QueryState query,
            EngineState engine,
            AttemptEnded ended,
            boolean overloaded,
            long nowNs) {
        double responseLog = Math.log(Math.max(EPSILON, responseRatio(query, ended)));
        if (!overloaded) {
            query.statistics.recordResponse(responseLog, query.hasEstimate);
        }
        if (ended.workMs() > 0) {
            query.statistics.recordWork(ended.workMs());
        }
        double excessLog =
                (responseLog - query.statistics.expectedLog()) * query.statistics.consistency();
        engine.slownessWeight = Math.min(MAX_WEIGHT, decayedWeight(engine, nowNs) + 1);
        engine.slownessLog += (excessLog - engine.slownessLog) / engine.slownessWeight;
        engine.lastSlownessNs = nowNs;
        fleetSlownessLog += FLEET_WEIGHT * (excessLog - fleetSlownessLog);
    }

    private static double responseRatio(QueryState query, AttemptEnded ended) {
        return ended.durationNs()
                / (double) Nanos.PER_MS
                * query.queryClass.threads()
                / Math.max(EPSILON, query.estimateMs);
    }
}
