package ashlink.decisions;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.QueryClass;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Scores the load that an engine would have with one more query: the expected work per core of this
 * router's queries plus the load in a recent load report, multiplied by the slowness of the
 * engine's responses.
 */
final class EngineLoadScore {

    /** Expected work per core that counts as much as one fully busy core in a load report. */
    private static final double WORK_PER_BUSY_CORE_MS = 1_000;

    /**
     * Factor on the load of engine kinds that some classes require, applied to queries that may run
     * on any kind while many engines are overloaded. It keeps these engines free for the restricted
     * classes.
     */
    private static final double REQUIRED_KIND_FACTOR = 1.5;

    private final FleetLoadEstimator fleetLoad;
    private final OverloadDetector overload;
    private final ResponseTimeModel responseTimes;

    /** Kinds of engine to which some classes are restricted. */
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

    /** Returns the load score of the engine for the query; a lower score is better. */
    double score(EngineState engine, QueryState query, long nowNs) {
        double load = (engine.workMs + query.expectedWorkMs) / engine.cores / WORK_PER_BUSY_CORE_MS;
        if (engine.hasRecentReport(nowNs)) {
            LoadReport report = engine.report;
            load += reportedOrZero(report.cpuUtilization());
            load += reportedOrZero(report.memoryUtilization());
            load += reportedOrZero(report.queued() / engine.cores);
            load += reportedOrZero(report.diskUtilization());
            load += reportedOrZero(fleetLoad.threadsPerCore(engine));
        }
        if (!overload.areFewOverloaded()
                && query.queryClass.engineKinds().isEmpty()
                && requiredKinds.contains(engine.endpoint.kind())) {
            load *= REQUIRED_KIND_FACTOR;
        }
        return load * Math.exp(Math.max(0, responseTimes.slownessLog(engine, nowNs)));
    }

    /** Returns a reported value, or 0 for a value that the engine does not report (NaN). */
    private static double reportedOrZero(double value) {
        return value > 0 ? value : 0;
    }
}
