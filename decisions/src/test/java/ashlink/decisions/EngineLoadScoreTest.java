package ashlink.decisions;

import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.QueryClass;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the load score of an engine with four cores for a query of 100 ms. */
class EngineLoadScoreTest {

    private static final QueryClass LOOKUP = RouterHarness.shortClass("lookup");
    private static final QueryClass REPORT = RouterHarness.reportClass(Set.of("big"), Set.of());
    private static final double OWN_SCORE = 100 / 4.0 / 1_000;

    private final ResponseTimeModel responseTimes = new ResponseTimeModel();
    private final FleetLoadEstimator fleetLoad = new FleetLoadEstimator();
    private final OverloadDetector overload = new OverloadDetector(responseTimes, fleetLoad);
    private final EngineLoadScore score =
            new EngineLoadScore(List.of(LOOKUP, REPORT), fleetLoad, overload, responseTimes);
    private final EngineState engine = TestStates.engine("a");

    private double score(QueryClass queryClass) {
        return score.score(engine, TestStates.query(1, queryClass), NOW_NS);
    }

    @Test
    void idleEngineScoresTheWorkOfTheQuery() {
        assertEquals(OWN_SCORE, score(LOOKUP), 1e-12);
    }

    @Test
    void runningQueriesAddTheirWork() {
        TestStates.start(TestStates.query(2, LOOKUP), engine, NOW_NS);
        assertEquals(2 * OWN_SCORE, score(LOOKUP), 1e-12);
    }

    @Test
    void recentReportAddsItsLoad() {
        engine.recordReport(new LoadReport(2, 0.5, 0.25, Double.NaN), NOW_NS);
        assertEquals(OWN_SCORE + 0.5 + 0.25 + 2 / 4.0, score(LOOKUP), 1e-12);
    }

    @Test
    void oldReportIsIgnored() {
        engine.recordReport(new LoadReport(2, 0.5, 0.25, 0), NOW_NS - EngineState.RECENT_NS);
        assertEquals(OWN_SCORE, score(LOOKUP), 1e-12);
    }

    @Test
    void slownessMultipliesTheScore() {
        engine.slownessWeight = 1;
        engine.lastSlownessNs = NOW_NS;
        engine.slownessLog = 2 * Math.log(3);
        assertEquals(3 * OWN_SCORE, score(LOOKUP), 1e-12);
        engine.slownessLog = -1;
        assertEquals(OWN_SCORE, score(LOOKUP), 1e-12);
    }

    @Test
    void requiredKindCountsMoreForUnrestrictedQueriesDuringOverload() {
        EngineState overloaded = TestStates.engine("b");
        overloaded.recordReport(RouterHarness.OVERLOADED, NOW_NS);
        overload.update(List.of(overloaded), NOW_NS);
        assertEquals(1.5 * OWN_SCORE, score(LOOKUP), 1e-12);
        assertEquals(OWN_SCORE, score(REPORT), 1e-12);
    }
}
