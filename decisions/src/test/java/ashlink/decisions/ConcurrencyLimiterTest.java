package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Settings;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests the capacity within the concurrency limit; the initial limit of an engine with four cores
 * is 6 threads.
 */
class ConcurrencyLimiterTest {

    private final EngineDirectory engines =
            new EngineDirectory(List.of(new EngineKind("big", 4, 8_000)));
    private final FleetLoadEstimator fleetLoad = new FleetLoadEstimator();
    private final QueryClassStatistics reports =
            new QueryClassStatistics(RouterHarness.reportClass(Set.of(), Set.of()));
    private final QueryClassStatistics lookups =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));

    private ConcurrencyLimiter limiter(int routers, String... names) {
        Settings settings =
                RouterHarness.settings(
                        routers,
                        RouterHarness.CAPABILITIES,
                        RouterHarness.LIMITS,
                        reports.queryClass,
                        lookups.queryClass);
        ConcurrencyLimiter limiter =
                new ConcurrencyLimiter(
                        settings,
                        new SplittableRandom(7),
                        engines,
                        new ActiveQueries(),
                        new ShortQueryClassifier(List.of(reports, lookups)),
                        fleetLoad,
                        new OverloadDetector(new ResponseTimeModel(), fleetLoad));
        engines.apply(
                new EndpointsChanged(
                        EndpointListKind.SNAPSHOT,
                        List.of(names).stream().map(RouterHarness::readyEndpoint).toList()),
                limiter::resetAdjustment);
        limiter.assignLimits();
        return limiter;
    }

    private QueryState report(long id) {
        return TestStates.query(id, reports, null, 10_000, 1);
    }

    private void startReports(EngineState engine, int count) {
        for (int i = 0; i < count; i++) {
            TestStates.start(report(i), engine, NOW_NS);
        }
    }

    private static void reportBusy(EngineState engine) {
        engine.recordReport(new LoadReport(0, 1, 0, 0), NOW_NS);
    }

    @Test
    void overloadedEngineIsFilledToTheInitialLimit() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        reportBusy(engine);
        startReports(engine, 2);
        assertTrue(limiter.hasCapacity(report(9), engine, NOW_NS));
        startReports(engine, 1);
        assertFalse(limiter.hasCapacity(report(9), engine, NOW_NS));
        assertTrue(engine.limit.saturated);
    }

    @Test
    void engineWithoutOverloadIsFilledToTwiceTheInitialLimit() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        startReports(engine, 5);
        assertTrue(limiter.hasCapacity(report(9), engine, NOW_NS));
        startReports(engine, 1);
        assertFalse(limiter.hasCapacity(report(9), engine, NOW_NS));
    }

    @Test
    void shortQueryFitsBeyondTheLimit() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        reportBusy(engine);
        startReports(engine, 3);
        QueryState lookup = TestStates.query(10, lookups, null, 10, 1);
        assertTrue(limiter.hasCapacity(lookup, engine, NOW_NS));
        startReports(engine, 3);
        assertFalse(limiter.hasCapacity(lookup, engine, NOW_NS));
    }

    @Test
    void rejectionPausesTheEngine() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        engine.lastRejectionNs = NOW_NS;
        assertFalse(limiter.hasCapacity(report(9), engine, NOW_NS + 200 * MS - 1));
        assertTrue(limiter.hasCapacity(report(9), engine, NOW_NS + 200 * MS));
    }

    @Test
    void longMemoryQueueExcludesLongQueries() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        engine.recordReport(new LoadReport(2, 0, 0, 0), NOW_NS);
        assertFalse(limiter.hasCapacity(report(9), engine, NOW_NS));
        QueryState lookup = TestStates.query(10, lookups, null, 10, 1);
        assertTrue(limiter.hasCapacity(lookup, engine, NOW_NS));
    }

    @Test
    void staleReportOfAMemoryQueueIsIgnored() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        engine.recordReport(new LoadReport(2, 0, 0, 0), NOW_NS);
        assertTrue(limiter.hasCapacity(report(9), engine, NOW_NS + 500 * MS));
    }

    @Test
    void eachEngineHasItsOwnLimitInASmallFleet() {
        limiter(6, "a", "b");
        assertNotSame(engines.find("a").limit, engines.find("b").limit);
        assertEquals(4, engines.find("a").limit.cores);
    }

    @Test
    void enginesShareOneLimitInALargeFleet() {
        limiter(7, "a", "b");
        assertSame(engines.find("a").limit, engines.find("b").limit);
        assertEquals(8, engines.find("a").limit.cores);
    }

    @Test
    void restartResetsTheAdjustmentOfAnEngine() {
        ConcurrencyLimiter limiter = limiter(1, "a");
        EngineState engine = engines.find("a");
        engine.limit.adjustmentThreads = 3;
        limiter.resetAdjustment(engine);
        assertEquals(0, engine.limit.adjustmentThreads);
    }
}
