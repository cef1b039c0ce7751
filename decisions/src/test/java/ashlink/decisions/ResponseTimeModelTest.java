package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the slowness of engines as derived from response times; the expected duration of a query is
 * 100 ms.
 */
class ResponseTimeModelTest {

    private final ResponseTimeModel model = new ResponseTimeModel();
    private final EngineState engine = TestStates.engine("a");
    private final QueryClassStatistics statistics =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));

    private void respond(long durationMs, int times) {
        for (int i = 0; i < times; i++) {
            QueryState query = TestStates.query(i, statistics);
            // Recorded as overloaded, so that the expected response time does not change.
            model.record(query, engine, TestStates.served(query, durationMs), true, NOW_NS);
        }
    }

    @Test
    void engineWithoutResponsesIsAsFastAsExpected() {
        assertEquals(0, model.slownessLog(engine, NOW_NS));
    }

    @Test
    void slownessIsTheMeanLogarithmOfTheResponses() {
        respond(400, 3);
        assertEquals(Math.log(4) * 3 / 4, model.slownessLog(engine, NOW_NS), 1e-12);
    }

    @Test
    void slownessDecays() {
        respond(400, 3);
        double laterLog = model.slownessLog(engine, NOW_NS + 60_000 * MS);
        assertTrue(laterLog > 0 && laterLog < 0.02, "slowness " + laterLog);
    }

    @Test
    void overdueRunningQueryAddsToTheSlowness() {
        TestStates.start(TestStates.query(1, statistics), engine, NOW_NS);
        assertEquals(0, model.slownessLog(engine, NOW_NS + 249 * MS));
        double overdueLog = model.slownessLog(engine, NOW_NS + 1_000 * MS);
        assertEquals(Math.log(10) / 2, overdueLog, 1e-6);
    }

    @Test
    void fleetSlownessFollowsAllEngines() {
        respond(400, 200);
        assertEquals(Math.log(4), model.fleetSlownessLog(), 1e-6);
    }

    @Test
    void responsesDuringOverloadDoNotChangeTheExpectedTime() {
        respond(400, 100);
        assertEquals(0, statistics.expectedLog());
    }

    @Test
    void responsesWithoutOverloadChangeTheExpectedTime() {
        for (int i = 0; i < 500; i++) {
            QueryState query = TestStates.query(i, statistics);
            model.record(query, engine, TestStates.served(query, 400), false, NOW_NS);
        }
        assertEquals(Math.log(4), statistics.expectedLog(), 0.1);
    }
}
