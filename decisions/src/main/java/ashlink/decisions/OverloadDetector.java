package ashlink.decisions;

import java.util.Collection;

/**
 * Decides whether an engine is overloaded: a recent load report says so, the engine rejected an
 * attempt recently, or its responses are much slower than expected.
 */
final class OverloadDetector {

    /** Utilization of cores, memory or disks from which an engine is overloaded. */
    private static final double OVERLOAD_UTILIZATION = 0.95;

    /** Largest fraction of overloaded engines that counts as few. */
    private static final double MAX_FEW_FRACTION = 0.3;

    private final ResponseTimeModel responseTimes;
    private final FleetLoadEstimator fleetLoad;
    private boolean fewOverloaded = true;

    OverloadDetector(ResponseTimeModel responseTimes, FleetLoadEstimator fleetLoad) {
        this.responseTimes = responseTimes;
        this.fleetLoad = fleetLoad;
    }

    boolean isOverloaded(EngineState engine, long nowNs) {
        return reportsOverload(engine, nowNs)
                || nowNs - engine.lastRejectionNs < EngineState.RECENT_NS
                || responseTimes.slownessLog(engine, nowNs) > ResponseTimeModel.SLOW_LOG;
    }

    private boolean reportsOverload(EngineState engine, long nowNs) {
        return engine.hasRecentReport(nowNs)
                && (engine.report.queued() >= 1
                        || engine.report.cpuUtilization() >= OVERLOAD_UTILIZATION
                        || engine.report.memoryUtilization() >= OVERLOAD_UTILIZATION
                        || engine.report.diskUtilization() >= OVERLOAD_UTILIZATION
                        || fleetLoad.threadsPerCore(engine)
                                >= ConcurrencyLimit.INITIAL_THREADS_PER_CORE);
    }

    /**
     * Returns whether, at the last update, few of the engines with a recent load report were
     * overloaded.
     */
    boolean areFewOverloaded() {
        return fewOverloaded;
    }

    /** Counts the overloaded engines. Called once per maintenance interval. */
    void update(Collection<EngineState> engines, long nowNs) {
        long reporting = 0;
        long overloaded = 0;
        for (EngineState engine : engines) {
            if (engine.hasRecentReport(nowNs)) {
                reporting++;
                overloaded += isOverloaded(engine, nowNs) ? 1 : 0;
            }
        }
        fewOverloaded = overloaded <= MAX_FEW_FRACTION * reporting;
    }
}
