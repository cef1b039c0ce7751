package ashlink.decisions;

import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.Settings;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the slow start budget of a warming engine. */
class SlowStartTest {

    private static final QueryClass LOOKUP = RouterHarness.shortClass("lookup");

    /**
     * Number of routers with which the budget of a router covers less than one light query per
     * window.
     */
    private static final int ROUTERS = 200;

    private final EngineState engine = TestStates.engine("a");
    private final QueryState query = TestStates.query(1, LOOKUP);

    private SlowStart slowStart(int routers, PolicyLimits limits) {
        Settings settings =
                RouterHarness.settings(routers, RouterHarness.CAPABILITIES, limits, LOOKUP);
        return new SlowStart(settings, new SplittableRandom(7));
    }

    private void startedAt(long startedNs) {
        engine.endpoint = RouterHarness.endpoint("a", "z1", "big", EndpointState.READY, startedNs);
    }

    /**
     * Returns the time in which the budget of one router accrues a lookup with the prior value of
     * 500 ms.
     */
    private static double spacingNs(int routers) {
        return 500 * MS * routers / (0.6 * 3 * 0.3 * 4 * 0.85);
    }

    @Test
    void engineIsWarmingUpUntilTheEndOfSlowStart() {
        SlowStart slowStart = slowStart(1, LIMITS);
        startedAt(NOW_NS);
        assertTrue(slowStart.isWarmingUp(engine, NOW_NS + LIMITS.slowStartNs() - 1));
        assertFalse(slowStart.isWarmingUp(engine, NOW_NS + LIMITS.slowStartNs()));
    }

    @Test
    void engineWithUnknownStartIsWarm() {
        startedAt(0);
        assertFalse(slowStart(1, LIMITS).isWarmingUp(engine, 1));
    }

    @Test
    void noEngineIsWarmingUpWithoutAnOverloadLimit() {
        PolicyLimits unlimited = new PolicyLimits(0, 0.3, 10_000 * MS, 0, 2_000 * MS, 0, 0, 0, 0);
        startedAt(NOW_NS);
        assertFalse(slowStart(1, unlimited).isWarmingUp(engine, NOW_NS));
    }

    @Test
    void startsAreSpacedByTheBudgetAfterABurst() {
        SlowStart slowStart = slowStart(1, LIMITS);
        startedAt(NOW_NS);
        int burst = 0;
        while (burst < 100 && slowStart.allows(query, engine, NOW_NS)) {
            slowStart.recordStart(query, engine, NOW_NS);
            burst++;
        }
        // Unused budget accumulates for half of the window of 2 s.
        assertEquals((int) (1_000 * MS / spacingNs(1)), burst);
        long nextNs = (long) (engine.slowStartBudgetTimeNs + spacingNs(1));
        assertFalse(slowStart.allows(query, engine, nextNs - 1));
        assertTrue(slowStart.allows(query, engine, nextNs + 1));
    }

    @Test
    void startTimeIsRandomWithLessThanOneQueryPerWindow() {
        QueryState light = lightQuery();
        startedAt(NOW_NS);
        SlowStart slowStart = slowStart(ROUTERS, LIMITS);
        slowStart.allows(light, engine, NOW_NS);
        double spacingNs = light.statistics.conservativeWorkMs() / 500 * spacingNs(ROUTERS);
        assertTrue(spacingNs > LIMITS.slowStartWindowNs());
        assertTrue(engine.slowStartBudgetTimeNs > NOW_NS);
        assertTrue(engine.slowStartBudgetTimeNs < NOW_NS + spacingNs);
        long drawnNs = (long) engine.slowStartBudgetTimeNs;
        assertFalse(slowStart.allows(light, engine, drawnNs - 1));
        assertTrue(slowStart.allows(light, engine, drawnNs + 1));
    }

    @Test
    void unusedAdmissionTimeExpiresAfterAWindow() {
        QueryState light = lightQuery();
        startedAt(NOW_NS);
        SlowStart slowStart = slowStart(ROUTERS, LIMITS);
        slowStart.allows(light, engine, NOW_NS);
        long laterNs = (long) engine.slowStartBudgetTimeNs + LIMITS.slowStartWindowNs() + 1_000;
        slowStart.allows(light, engine, laterNs);
        assertTrue(engine.slowStartBudgetTimeNs >= laterNs);
    }

    /** Returns a query of a class with a mean work of 20 ms. */
    private static QueryState lightQuery() {
        QueryClassStatistics statistics = new QueryClassStatistics(LOOKUP);
        for (int i = 0; i < 1_000; i++) {
            statistics.recordEstimate(20);
        }
        return TestStates.query(3, statistics);
    }

    @Test
    void queryIsNotAdmittedIfTheFleetMayStartFewOfItsClass() {
        startedAt(NOW_NS);
        QueryState report = TestStates.query(2, RouterHarness.reportClass(Set.of(), Set.of()));
        SlowStart slowStart = slowStart(10, LIMITS);
        for (long ms = 0; ms < 9_000; ms += 50) {
            assertFalse(slowStart.allows(report, engine, NOW_NS + ms * MS));
        }
    }

    @Test
    void startOnAWarmEngineIsNotCharged() {
        startedAt(0);
        slowStart(1, LIMITS).recordStart(query, engine, NOW_NS);
        assertTrue(Double.isNaN(engine.slowStartBudgetTimeNs));
    }
}
