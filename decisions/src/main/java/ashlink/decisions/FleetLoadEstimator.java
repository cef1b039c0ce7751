package ashlink.decisions;

import java.util.Collection;

/**
 * Estimates from the engines' load reports what all routers together run, and the fraction of it
 * that is this router's.
 */
final class FleetLoadEstimator {

    /** Weight of a new sample in the traffic fraction. */
    private static final double TRAFFIC_WEIGHT = 0.02;

    /** Samples of this router's running queries, and the same times their threads. */
    private double runningSamples;

    private double runningThreadSamples;
    private double trafficFraction;
    private double threadsPerCore;

    /** Returns the fraction of the engines' load that this router causes, 0 to 1. */
    double trafficFraction() {
        return trafficFraction;
    }

    /** Returns the threads per core of all routers; 0 where engines do not report it. */
    double threadsPerCore() {
        return threadsPerCore;
    }

    /** Whether all routers together run more threads than the initial limits add up to. */
    boolean isOverInitialLimit() {
        return threadsPerCore > ConcurrencyLimit.INITIAL_THREADS_PER_CORE;
    }

    /**
     * Returns the threads per core of an engine: its queries in flight, taken to be like this
     * router's running ones; NaN if it does not report them.
     */
    double threadsPerCore(EngineState engine) {
        return engine.report.inFlight()
                * (runningSamples > 0 ? runningThreadSamples / runningSamples : 1)
                / engine.cores;
    }

    /** Takes a sample of the engines; called at a fixed interval. */
    void update(Collection<EngineState> engines, long nowNs) {
        updateTrafficFraction(engines, nowNs);
        threadsPerCore =
                engines.stream()
                        .filter(engine -> engine.hasRecentReport(nowNs))
                        .filter(engine -> engine.report.inFlight() >= 0)
                        .mapToDouble(this::threadsPerCore)
                        .average()
                        .orElse(0);
    }

    private void updateTrafficFraction(Collection<EngineState> engines, long nowNs) {
        double ownThreads = 0;
        double fleetThreads = 0;
        for (EngineState engine : engines) {
            sampleRunning(engine);
            double reported = reportedThreadsPerCore(engine);
            if (engine.endpoint != null && engine.hasRecentReport(nowNs) && reported > 0) {
                ownThreads += engine.threads;
                fleetThreads += reported * engine.cores;
            }
        }
        double sample = fleetThreads > 0 ? Math.min(1, ownThreads / fleetThreads) : 0;
        trafficFraction += TRAFFIC_WEIGHT * (sample - trafficFraction);
    }

    private void sampleRunning(EngineState engine) {
        runningSamples += engine.running.size();
        for (QueryState query : engine.running) {
            runningThreadSamples += query.spec.threads();
        }
    }

    private double reportedThreadsPerCore(EngineState engine) {
        return engine.report.inFlight() > 0
                ? threadsPerCore(engine)
                : engine.report.cpuUtilization() * ConcurrencyLimit.INITIAL_THREADS_PER_CORE;
    }
}
