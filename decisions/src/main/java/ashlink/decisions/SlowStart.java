package ashlink.decisions;

import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.Settings;
import java.util.SplittableRandom;

/**
 * Invariant "slow start": the work that all routers together send to a warming engine in a window
 * stays below the overload limit. Each router has an equal part of the limit as its budget.
 *
 * <p>If the budget of a router covers less than one query per window, queries are admitted at
 * random times with the budget's mean spacing, provided that the whole fleet may start many queries
 * of the class. An admission time that is not used within a window expires.
 */
final class SlowStart {

    /**
     * Fraction of the limit that is used. The margin covers errors of the estimates and the
     * rounding up by each router.
     */
    private static final double BUDGET_FRACTION = 0.6;

    /** Unused budget that may accumulate, as a fraction of the window. */
    private static final double BURST_FRACTION = 0.5;

    /**
     * Number of queries of a class per window, over all routers, that the budget of the fleet must
     * exceed for a query to be admitted at a random time.
     */
    private static final double MIN_FLEET_QUERIES = 20;

    /** Usable fraction of the cores of an engine. */
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

    /**
     * Returns whether the engine is warm or the budget covers the query. May draw the random time
     * of the next admission.
     */
    boolean allows(QueryState query, EngineState engine, long nowNs) {
        if (!isWarmingUp(engine, nowNs)) {
            return true;
        }
        double windowNs = limits.slowStartWindowNs();
        double spacingNs = spacingNs(query, engine);
        if (spacingNs <= windowNs) {
            if (Double.isNaN(engine.slowStartBudgetTimeNs)) {
                engine.slowStartBudgetTimeNs = nowNs - BURST_FRACTION * windowNs;
            }
            return nowNs >= engine.slowStartBudgetTimeNs + spacingNs;
        }
        if (spacingNs * MIN_FLEET_QUERIES >= windowNs * routerCount) {
            return false;
        }
        boolean hasAdmissionTime =
                nowNs <= engine.slowStartBudgetTimeNs + windowNs
                        && engine.slowStartBudgetTimeNs <= nowNs + spacingNs;
        if (!hasAdmissionTime) {
            engine.slowStartBudgetTimeNs = nowNs + random.nextDouble() * spacingNs;
        }
        return nowNs >= engine.slowStartBudgetTimeNs;
    }

    /** Charges an attempt that starts on a warming engine to the budget. */
    void recordStart(QueryState query, EngineState engine, long nowNs) {
        if (!isWarmingUp(engine, nowNs)) {
            return;
        }
        double spacingNs = spacingNs(query, engine);
        double burstNs =
                spacingNs <= limits.slowStartWindowNs()
                        ? BURST_FRACTION * limits.slowStartWindowNs()
                        : 0;
        engine.slowStartBudgetTimeNs =
                Math.max(engine.slowStartBudgetTimeNs, nowNs - burstNs) + spacingNs;
    }

    /**
     * Returns the time in which the budget of this router accrues the work of one query of the
     * class.
     */
    private double spacingNs(QueryState query, EngineState engine) {
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
