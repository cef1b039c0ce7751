package ashlink.decisions;

import java.util.Collection;

/**
 * Estimates the load that all routers together put on the engines, and this router's fraction of
 * it, from the load reports of the engines.
 */
final class FleetLoadEstimator {

    /** Weight of a new sample in the moving average of the traffic fraction. */
    private static final double TRAFFIC_WEIGHT = 0.02;

    /** Number of running queries of this router, summed over all samples. */
    private double runningSamples;

    /** Number of threads of these queries, summed over all samples. */
    private double runningThreadSamples;

    private double trafficFraction;
    private double threadsPerCore;

    /** Returns the estimated fraction of the engines' load that this router causes, 0 to 1. */
    double trafficFraction() {
        return trafficFraction;
    }

    /**
     * Returns the mean threads per core of all routers together; 0 if engines do not report queries
     * in flight.
     */
    double threadsPerCore() {
        return threadsPerCore;
    }

    /** Returns whether all routers together run more threads than the sum of the initial limits. */
    boolean isOverInitialLimit() {
        return threadsPerCore > ConcurrencyLimit.INITIAL_THREADS_PER_CORE;
    }

    /**
     * Returns the threads per core that all routers run on the engine; NaN if the engine does not
     * report queries in flight. Each query in flight is assumed to use the mean thread count of
     * this router's running queries.
     */
    double threadsPerCore(EngineState engine) {
        return engine.report.inFlight()
                * (runningSamples > 0 ? runningThreadSamples / runningSamples : 1)
                / engine.cores;
    }

    /** Samples the engines. Called once per maintenance interval. */
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
        runningSamples += engine.runningQueries.size();
        for (QueryState query : engine.runningQueries) {
            runningThreadSamples += query.queryClass.threads();
        }
    }

    private double reportedThreadsPerCore(EngineState engine) {
        return engine.report.inFlight() > 0
                ? threadsPerCore(engine)
                : engine.report.cpuUtilization() * ConcurrencyLimit.INITIAL_THREADS_PER_CORE;
    }
}
