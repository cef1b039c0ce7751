package ashlink.decisions;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.QueryClass;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Scores how loaded an engine would be with one more query: the expected work of this router's
 * queries per core, plus what a recent load report says, times the slowness of its responses.
 */
final class EngineLoadScore {

    /** Own work per core that counts as much as one busy core in a report. */
    private static final double WORK_PER_BUSY_CORE_MS = 1_000;

    /**
     * While many engines are overloaded: factor on the load of the kinds that some classes are
     * limited to, for queries that may run on any kind.
     */
    private static final double REQUIRED_KIND_FACTOR = 1.5;

    private final FleetLoadEstimator fleetLoad;
    private final OverloadDetector overload;
    private final ResponseTimeModel responseTimes;

    /** Kinds of engine that some classes are limited to. */
    private final Set<String> requiredKinds = new HashSet<>();

    EngineLoadScore(
            List<QueryClass> classes,
            FleetLoadEstimator fleetLoad,
            OverloadDetector overload,
            ResponseTimeModel responseTimes) {
        this.fleetLoad = fleetLoad;
        this.overload = overload;
        this.responseTimes = responseTimes;
        for (QueryClass queryClass : classes) {
            requiredKinds.addAll(queryClass.engineKinds());
        }
    }

    /**
     * Returns the score of the engine for the query; the engine with the lower one is preferred.
     */
    double score(EngineState engine, QueryState query, long nowNs) {
        double load = (engine.workMs + query.expectedWorkMs) / engine.cores / WORK_PER_BUSY_CORE_MS;
        if (engine.hasRecentReport(nowNs)) {
            LoadReport report = engine.report;
            load += reported(report.cpuUtilization());
            load += reported(report.memoryUtilization());
            load += reported(report.queued() / engine.cores);
            load += reported(report.diskUtilization());
            load += reported(fleetLoad.threadsPerCore(engine));
        }
        if (!overload.areFewOverloaded()
                && query.spec.engineKinds().isEmpty()
                && requiredKinds.contains(engine.endpoint.kind())) {
            load *= REQUIRED_KIND_FACTOR;
        }
        return load * Math.exp(Math.max(0, responseTimes.slownessLog(engine, nowNs)));
    }

    /** Returns a reported value, or 0 if it is not reported. */
    private static double reported(double value) {
        return value > 0 ? value : 0;
    }
}
