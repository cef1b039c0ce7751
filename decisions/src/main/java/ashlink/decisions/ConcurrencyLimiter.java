package ashlink.decisions;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.Settings;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits the number of threads that queries of this router occupy on an engine. The initial limit
 * follows from the cores of the engine and this router's fraction of the traffic; {@link
 * ConcurrencyFeedback} adjusts the limit. The adjusted limit applies only while the engine is
 * overloaded, and an engine without load from this router always accepts one query.
 *
 * <p>In a large fleet, one thread per router and engine would already exceed the initial limits.
 * There, a single limit over all engines replaces the limits per engine.
 */
final class ConcurrencyLimiter {

    /** Capacity for short queries beyond the limit, as a multiple of the initial limit. */
    private static final double SHORT_QUERY_MULTIPLE = 1.0;

    /**
     * Time after a rejection in which no attempt starts on the engine, because the engine would
     * most likely reject it again.
     */
    private static final long REJECTION_PAUSE_NS = 200 * Nanos.PER_MS;

    /**
     * Queries per core that wait for memory on an engine beyond which further queries would only
     * lengthen the wait.
     */
    private static final double MAX_QUEUED_PER_CORE = 0.25;

    private final int routerCount;
    private final Capabilities capabilities;
    private final SplittableRandom random;
    private final EngineDirectory engines;
    private final ActiveQueries queries;
    private final ShortQueryClassifier shortQueries;
    private final FleetLoadEstimator fleetLoad;
    private final OverloadDetector overload;

    /** The limit over all engines, used in a large fleet. */
    private final ConcurrencyLimit sharedLimit = new ConcurrencyLimit();

    /**
     * Random number from 0 to 1, drawn once per maintenance interval. A query that can never fit
     * the shared limit is admitted if its admission probability is higher.
     */
    private double admissionRandom;

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

    /** Draws the random number for admissions in the next maintenance interval. */
    void drawAdmissionRandom() {
        admissionRandom = random.nextDouble();
    }

    /**
     * Returns the initial number of threads of a limit, at least 1. Feedback adjusts the limit from
     * this value.
     */
    double initialThreads(ConcurrencyLimit limit) {
        double equalFraction = 1.0 / routerCount;
        double trafficFraction = fleetLoad.trafficFraction();
        // If the load of the fleet is known, all routers use the mean of both fractions, so that
        // the fractions of all routers add up to 1.
        double fraction =
                fleetLoad.threadsPerCore() > 0
                        ? (trafficFraction + equalFraction) / 2
                        : Math.max(trafficFraction, equalFraction);
        return Math.max(1, ConcurrencyLimit.INITIAL_THREADS_PER_CORE * limit.cores * fraction);
    }

    /** Resets the adjustment of the limit of a restarted engine; the shared limit is kept. */
    void resetAdjustment(EngineState engine) {
        if (engine.limit != sharedLimit) {
            engine.limit.adjustmentThreads = 0;
        }
    }

    /**
     * Assigns each engine its own limit or the shared limit. Called after the endpoint list has
     * changed.
     */
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

    /**
     * Returns whether capacity allows an attempt of the query to start on the engine; if not, the
     * limit is marked as saturated.
     */
    boolean hasCapacity(QueryState query, EngineState engine, long nowNs) {
        ConcurrencyLimit limit = engine.limit;
        boolean isShort = shortQueries.isShort(query);
        boolean overloaded = overload.isOverloaded(engine, nowNs);
        boolean hasCapacity =
                nowNs - engine.lastRejectionNs >= REJECTION_PAUSE_NS
                        && (isShort || !isMemoryQueueLong(engine, nowNs))
                        && (fitsLimit(query, limit, isShort, overloaded)
                                || limit == sharedLimit
                                        && mayExceedSharedLimit(
                                                engine, isShort, overloaded, nowNs));
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
     * Returns the number of threads that the limit allows now. An engine that is not overloaded is
     * filled up to the largest limit but not beyond, because all routers with queued queries see
     * the same free capacity and would fill the engine at the same time. The shared limit is
     * divided by the factor by which the fleet exceeds its initial limits.
     */
    private double effectiveThreads(ConcurrencyLimit limit, boolean isShort, boolean overloaded) {
        double initial = initialThreads(limit);
        double minThreads = overloaded ? 1 : ConcurrencyLimit.MAX_INITIAL_MULTIPLE * initial;
        double threads = Math.max(initial + limit.adjustmentThreads, minThreads);
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

    private boolean mayExceedSharedLimit(
            EngineState engine, boolean isShort, boolean overloaded, long nowNs) {
        boolean hasPriority =
                isShort && capabilities.priorities() && !fleetLoad.isOverInitialLimit();
        return hasPriority
                || overload.areFewOverloaded() && engine.hasRecentReport(nowNs) && !overloaded;
    }

    /**
     * Returns whether the query fits the shared limit with all of its threads while the fleet
     * exceeds its initial limits. A query with more threads than the limit could never start, so it
     * is admitted with the probability that keeps the average load at the limit. Short queries have
     * reserved capacity in addition.
     */
    private boolean fitsSharedLimit(QueryState query, boolean isShort, double limitThreads) {
        int threads = query.queryClass.threads();
        if (sharedLimit.threads + threads <= limitThreads
                || sharedLimit.threads == 0
                        && admissionRandom < admissionProbability(query, limitThreads)) {
            return true;
        }
        return isShort
                && queries.shortThreadsInFlight(shortQueries) + threads
                        <= Math.max(1, SHORT_QUERY_MULTIPLE * initialThreads(sharedLimit));
    }

    private static double admissionProbability(QueryState query, double limitThreads) {
        long intervalNs = MaintenanceTask.INTERVAL_NS;
        return limitThreads
                / query.queryClass.threads()
                * intervalNs
                / Math.max(intervalNs, query.expectedDurationNs());
    }
}
