package ashlink.decisions;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.Settings;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits the threads that this router's queries occupy on an engine. The limit starts from the
 * cores and this router's part of the traffic; {@link ConcurrencyFeedback} adjusts it. It binds
 * only while the engine is overloaded, and never where nothing of this router runs.
 *
 * <p>Where the routers are so many that one thread per router and engine would exceed the initial
 * limits, one limit over all engines takes their place.
 */
final class ConcurrencyLimiter {

    /** Capacity for short queries beyond the limit, as a multiple of the initial limit. */
    private static final double SHORT_QUERY_MULTIPLE = 1.0;

    /** Pause after a rejection; an attempt at once would be rejected again. */
    private static final long REJECTION_PAUSE_NS = 200 * Nanos.PER_MS;

    /** Queries per core that queue for memory from which more would only lengthen the queue. */
    private static final double MAX_QUEUED_PER_CORE = 0.25;

    private final int routerCount;
    private final Capabilities capabilities;
    private final SplittableRandom random;
    private final EngineDirectory engines;
    private final ActiveQueries queries;
    private final ShortQueryClassifier shortQueries;
    private final FleetLoadEstimator fleetLoad;
    private final OverloadDetector overload;

    /** The limit over all engines. */
    private final ConcurrencyLimit sharedLimit = new ConcurrencyLimit();

    /**
     * Random number from 0 to 1; a query without capacity is admitted if its probability is more.
     */
    private double admissionDraw;

    ConcurrencyLimiter(
            Settings settings,
            SplittableRandom random,
            EngineDirectory engines,
            ActiveQueries queries,
            ShortQueryClassifier shortQueries,
            FleetLoadEstimator fleetLoad,
            OverloadDetector overload) {
        this.routerCount = settings.routerCount();
        this.capabilities = settings.capabilities();
        this.random = random;
        this.engines = engines;
        this.queries = queries;
        this.shortQueries = shortQueries;
        this.fleetLoad = fleetLoad;
        this.overload = overload;
    }

    /** Draws the random number of the next maintenance interval. */
    void drawAdmission() {
        admissionDraw = random.nextDouble();
    }

    /** Returns the threads from which feedback adjusts a limit; 1 at least. */
    double initialThreads(ConcurrencyLimit limit) {
        double equalFraction = 1.0 / routerCount;
        double trafficFraction = fleetLoad.trafficFraction();
        // With a known fleet load all routers use their mean, so that the parts add up to 1.
        double fraction =
                fleetLoad.threadsPerCore() > 0
                        ? (trafficFraction + equalFraction) / 2
                        : Math.max(trafficFraction, equalFraction);
        return Math.max(1, ConcurrencyLimit.INITIAL_THREADS_PER_CORE * limit.cores * fraction);
    }

    /** Drops the adjustment of an engine that has restarted. */
    void resetAdjustment(EngineState engine) {
        if (engine.limit != sharedLimit) {
            engine.limit.adjustmentThreads = 0;
        }
    }

    /** Gives each engine its own limit or the shared one, after the endpoint list changed. */
    void assignLimits() {
        List<EngineState> ready = engines.ready();
        int cores = 0;
        for (EngineState engine : ready) {
            cores += engine.cores;
        }
        sharedLimit.cores = cores;
        sharedLimit.threads = 0;
        boolean shared =
                ConcurrencyLimit.INITIAL_THREADS_PER_CORE * cores
                        < (double) routerCount * ready.size();
        for (EngineState engine : engines.all()) {
            sharedLimit.threads += engine.threads;
            if (shared != (engine.limit == sharedLimit)) {
                engine.limit = shared ? sharedLimit : new ConcurrencyLimit();
            }
            if (!shared) {
                engine.limit.cores = engine.cores;
                engine.limit.threads = engine.threads;
            }
        }
    }

    /** Whether an attempt of the query may start on the engine; records if it may not. */
    boolean hasCapacity(QueryState query, EngineState engine, long nowNs) {
        ConcurrencyLimit limit = engine.limit;
        boolean isShort = shortQueries.isShort(query);
        boolean overloaded = overload.isOverloaded(engine, nowNs);
        boolean hasCapacity =
                nowNs - engine.lastRejectionNs >= REJECTION_PAUSE_NS
                        && (isShort || !isMemoryQueueLong(engine, nowNs))
                        && (fitsLimit(query, limit, isShort, overloaded)
                                || limit == sharedLimit
                                        && mayExceedShared(engine, isShort, overloaded, nowNs));
        limit.saturated |= !hasCapacity;
        return hasCapacity;
    }

    private static boolean isMemoryQueueLong(EngineState engine, long nowNs) {
        return !engine.hasStaleReport(nowNs)
                && engine.report.queued() > MAX_QUEUED_PER_CORE * engine.cores;
    }

    private boolean fitsLimit(
            QueryState query, ConcurrencyLimit limit, boolean isShort, boolean overloaded) {
        double threads = effectiveThreads(limit, isShort, overloaded);
        return limit == sharedLimit && fleetLoad.isOverInitialLimit()
                ? fitsSharedLimit(query, isShort, threads)
                : limit.threads == 0 || limit.threads < threads;
    }

    /**
     * Returns the limit in force. An engine without overload is filled up to the largest limit and
     * not beyond: routers that queue queries see the same gap and would all fill one engine at
     * once. The shared limit shrinks by as much as the fleet is over its initial limits.
     */
    private double effectiveThreads(ConcurrencyLimit limit, boolean isShort, boolean overloaded) {
        double initial = initialThreads(limit);
        double floor = overloaded ? 1 : ConcurrencyLimit.MAX_INITIAL_MULTIPLE * initial;
        double threads = Math.max(initial + limit.adjustmentThreads, floor);
        if (isShort) {
            threads += SHORT_QUERY_MULTIPLE * initial;
        }
        if (limit == sharedLimit) {
            threads /=
                    Math.max(
                            1,
                            fleetLoad.threadsPerCore() / ConcurrencyLimit.INITIAL_THREADS_PER_CORE);
        }
        return threads;
    }

    private boolean mayExceedShared(
            EngineState engine, boolean isShort, boolean overloaded, long nowNs) {
        boolean runsFirst = isShort && capabilities.priorities() && !fleetLoad.isOverInitialLimit();
        return runsFirst
                || overload.areFewOverloaded() && engine.hasRecentReport(nowNs) && !overloaded;
    }

    /**
     * Whether a query fits the shared limit with all its threads while the fleet is over its
     * initial limits. One that never would is admitted with the probability at which it fits on
     * average; short queries have a reserved capacity of their own.
     */
    private boolean fitsSharedLimit(QueryState query, boolean isShort, double limitThreads) {
        int threads = query.spec.threads();
        if (sharedLimit.threads + threads <= limitThreads
                || sharedLimit.threads == 0
                        && admissionDraw < admissionProbability(query, limitThreads)) {
            return true;
        }
        return isShort
                && queries.shortThreadsInFlight(shortQueries) + threads
                        <= Math.max(1, SHORT_QUERY_MULTIPLE * initialThreads(sharedLimit));
    }

    private static double admissionProbability(QueryState query, double limitThreads) {
        long intervalNs = MaintenanceTask.INTERVAL_NS;
        return limitThreads
                / query.spec.threads()
                * intervalNs
                / Math.max(intervalNs, query.expectedDurationNs());
    }
}
