package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.LoadReport;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the estimates of the fleet load and of this router's fraction of it, from load reports of
 * engines with four cores.
 */
class FleetLoadEstimatorTest {

    private final FleetLoadEstimator estimator = new FleetLoadEstimator();
    private final EngineState engine = TestStates.engine("a");

    private void reportInFlight(double queries) {
        engine.recordReport(
                new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, queries), NOW_NS);
    }

    private void update(int times, long nowNs) {
        for (int i = 0; i < times; i++) {
            estimator.update(List.of(engine), nowNs);
        }
    }

    @Test
    void estimatesAreZeroWithoutReports() {
        update(10, NOW_NS);
        assertEquals(0, estimator.threadsPerCore());
        assertEquals(0, estimator.trafficFraction());
    }

    @Test
    void queryInFlightCountsAsOneThreadWithoutOwnQueries() {
        reportInFlight(6);
        update(1, NOW_NS);
        assertEquals(1.5, estimator.threadsPerCore());
        assertFalse(estimator.isOverInitialLimit());
    }

    @Test
    void queryInFlightCountsAsTheMeanThreadsOfOwnQueries() {
        TestStates.start(
                TestStates.query(1, RouterHarness.reportClass(Set.of(), Set.of())), engine, NOW_NS);
        reportInFlight(6);
        update(1, NOW_NS);
        assertEquals(3, estimator.threadsPerCore());
        assertTrue(estimator.isOverInitialLimit());
    }

    @Test
    void oldReportIsIgnored() {
        reportInFlight(6);
        update(1, NOW_NS + 2_000 * MS);
        assertEquals(0, estimator.threadsPerCore());
    }

    @Test
    void trafficFractionConvergesToTheOwnFractionOfTheThreads() {
        TestStates.start(TestStates.query(1, RouterHarness.shortClass("lookup")), engine, NOW_NS);
        reportInFlight(4);
        update(1, NOW_NS);
        assertEquals(0.02 * 0.25, estimator.trafficFraction(), 1e-12);
        update(1_000, NOW_NS);
        assertEquals(0.25, estimator.trafficFraction(), 1e-6);
    }

    @Test
    void busyCoresReplaceMissingQueriesInFlight() {
        TestStates.start(TestStates.query(1, RouterHarness.shortClass("lookup")), engine, NOW_NS);
        engine.recordReport(new LoadReport(0, 0.5, 0, 0), NOW_NS);
        update(1_000, NOW_NS);
        assertEquals(1 / (0.5 * 1.5 * 4), estimator.trafficFraction(), 1e-6);
    }
}
