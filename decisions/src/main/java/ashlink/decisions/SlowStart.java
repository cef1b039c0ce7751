package ashlink.decisions;

import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.Settings;
import java.util.SplittableRandom;

/**
 * Rule "warming engines not overloaded": the work that all routers send to an engine in a window
 * after its start stays below the overload limit. Each router uses an equal part of it.
 *
 * <p>Where that part is less than one query per window, a query of a class that the engine can take
 * many of is admitted at a random time, spaced by the part; a time not used within a window
 * expires.
 */
final class SlowStart {

    /** Fraction of the limit in use; estimates are wrong, and every router rounds up. */
    private static final double BUDGET_FRACTION = 0.6;

    /** Unused budget that may accumulate, as a fraction of the window. */
    private static final double BURST_FRACTION = 0.5;

    /** Queries of a class that the limit must cover for one to be admitted at a random time. */
    private static final double MIN_FLEET_QUERIES = 20;

    /** Fraction of its cores that an engine's capacity is counted at. */
    private static final double CAPACITY_FRACTION = 0.85;

    private final PolicyLimits limits;
    private final int routerCount;
    private final SplittableRandom random;

    SlowStart(Settings settings, SplittableRandom random) {
        this.limits = settings.limits();
        this.routerCount = settings.routerCount();
        this.random = random;
    }

    boolean isWarmingUp(EngineState engine, long nowNs) {
        return engine.endpoint.startedNs() > 0
                && limits.slowStartOverloadFactor() > 0
                && nowNs < engine.endpoint.startedNs() + limits.slowStartNs();
    }

    /** Whether the engine is warm or has budget for the query; may draw a random time. */
    boolean allows(QueryState query, EngineState engine, long nowNs) {
        if (!isWarmingUp(engine, nowNs)) {
            return true;
        }
        double windowNs = limits.slowStartWindowNs();
        double gapNs = gapNs(query, engine);
        if (gapNs <= windowNs) {
            if (Double.isNaN(engine.slowStartNextNs)) {
                engine.slowStartNextNs = nowNs - BURST_FRACTION * windowNs;
            }
            return nowNs >= engine.slowStartNextNs + gapNs;
        }
        if (gapNs * MIN_FLEET_QUERIES >= windowNs * routerCount) {
            return false;
        }
        boolean isDrawn =
                nowNs <= engine.slowStartNextNs + windowNs
                        && engine.slowStartNextNs <= nowNs + gapNs;
        if (!isDrawn) {
            engine.slowStartNextNs = nowNs + random.nextDouble() * gapNs;
        }
        return nowNs >= engine.slowStartNextNs;
    }

    /** Charges an attempt that starts to the budget of an engine that is warming up. */
    void recordStart(QueryState query, EngineState engine, long nowNs) {
        if (!isWarmingUp(engine, nowNs)) {
            return;
        }
        double gapNs = gapNs(query, engine);
        double burstNs =
                gapNs <= limits.slowStartWindowNs()
                        ? BURST_FRACTION * limits.slowStartWindowNs()
                        : 0;
        engine.slowStartNextNs = Math.max(engine.slowStartNextNs, nowNs - burstNs) + gapNs;
    }

    /** Returns the time in which this router's budget adds up to one query of the class. */
    private double gapNs(QueryState query, EngineState engine) {
        return query.statistics.conservativeWorkMs()
                * Nanos.PER_MS
                * routerCount
                / (BUDGET_FRACTION
                        * limits.slowStartOverloadFactor()
                        * limits.slowStartFraction()
                        * engine.cores
                        * CAPACITY_FRACTION);
    }
}
