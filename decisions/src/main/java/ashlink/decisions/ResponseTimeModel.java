package ashlink.decisions;

import ashlink.decisions.api.Event.AttemptEnded;

/**
 * How much slower than expected an engine responds, as a logarithm: the mean of its recent
 * responses and of the running queries that are far over their expected time. One odd query among
 * many changes it little.
 */
final class ResponseTimeModel {

    /** Logarithm of actual over expected time from which a response is slow. */
    static final double SLOW_LOG = Math.log(2.5);

    /** Time in which the weight of the responses decays. */
    private static final long DECAY_NS = 10_000 * Nanos.PER_MS;

    /** Largest weight, in responses. */
    private static final double MAX_WEIGHT = 10;

    /** Weight of a response in the mean over all engines. */
    private static final double FLEET_WEIGHT = 0.1;

    private static final double SMALLEST = 1e-3;

    private double fleetSlownessLog;

    /** Returns the mean slowness over all engines, as a logarithm. */
    double fleetSlownessLog() {
        return fleetSlownessLog;
    }

    /** Returns the slowness of an engine, as a logarithm; 0 if it is as fast as expected. */
    double slownessLog(EngineState engine, long nowNs) {
        double weight = decayedWeight(engine, nowNs);
        double sum = weight * engine.slownessLog;
        for (QueryState query : engine.running) {
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
     * Records an attempt that was served.
     *
     * @param query its query
     * @param engine the engine that ran it
     * @param ended its end
     * @param overloaded whether the engine is overloaded; its response times then do not change
     *     what is expected of the class
     * @param nowNs the time
     */
    void record(
            QueryState query,
            EngineState engine,
            AttemptEnded ended,
            boolean overloaded,
            long nowNs) {
        double responseLog = Math.log(Math.max(SMALLEST, responseRatio(query, ended)));
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
                * query.spec.threads()
                / Math.max(SMALLEST, query.estimateMs);
    }
}
