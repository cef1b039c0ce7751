package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the ejection of engines and its exponential backoff. */
class OutlierDetectorTest {

    private static final long PROGRESS_INTERVAL_NS = 1_000 * MS;

    private final OutlierDetector detector =
            new OutlierDetector(PROGRESS_INTERVAL_NS, new ResponseTimeModel());
    private final EngineState engine = TestStates.engine("a");

    private long ejectionMsAfter(Outcome outcome) {
        detector.recordOutcome(engine, outcome, NOW_NS);
        return (engine.ejectedUntilNs - NOW_NS) / MS;
    }

    private void record(Outcome outcome, int times) {
        for (int i = 0; i < times; i++) {
            detector.recordOutcome(engine, outcome, NOW_NS);
        }
    }

    @Test
    void ejectionDoublesUpToTheMaximum() {
        for (long expectedMs : List.of(500L, 1_000L, 2_000L, 4_000L, 4_000L)) {
            assertEquals(expectedMs, ejectionMsAfter(Outcome.CONNECT_FAILED));
        }
    }

    @Test
    void connectionResetEjectsTheEngine() {
        assertEquals(500, ejectionMsAfter(Outcome.RESET));
    }

    @Test
    void ejectionEndsAfterItsDuration() {
        record(Outcome.CONNECT_FAILED, 1);
        assertTrue(engine.isEjected(NOW_NS + 500 * MS - 1));
        assertFalse(engine.isEjected(NOW_NS + 500 * MS));
    }

    @Test
    void servedAttemptResetsTheBackoff() {
        record(Outcome.CONNECT_FAILED, 3);
        record(Outcome.SERVED, 1);
        assertEquals(500, ejectionMsAfter(Outcome.CONNECT_FAILED));
    }

    @Test
    void errorFractionOfOneHalfEjectsTheEngine() {
        record(Outcome.ERROR, 2);
        assertFalse(engine.isEjected(NOW_NS));
        record(Outcome.ERROR, 1);
        assertTrue(engine.isEjected(NOW_NS));
    }

    @Test
    void errorsDuringAnEjectionDoNotExtendIt() {
        record(Outcome.ERROR, 10);
        assertEquals(500 * MS, engine.ejectionNs);
    }

    @Test
    void backoffIsNotResetWhileMostResultsAreErrors() {
        record(Outcome.ERROR, 10);
        record(Outcome.SERVED, 1);
        assertEquals(500 * MS, engine.ejectionNs);
        record(Outcome.SERVED, 2);
        assertEquals(0, engine.ejectionNs);
    }

    @Test
    void otherOutcomesDoNotEject() {
        for (Outcome outcome :
                List.of(Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.NOT_SENT)) {
            record(outcome, 10);
            assertFalse(engine.isEjected(NOW_NS), outcome.name());
        }
    }

    @Test
    void rejectionIsRecordedForTheEngineAndItsLimit() {
        record(Outcome.REJECTED, 1);
        assertEquals(NOW_NS, engine.lastRejectionNs);
        assertEquals(NOW_NS, engine.limit.lastRejectionNs);
    }

    @Test
    void engineWithoutProgressIsEjected() {
        start();
        assertFalse(detector.ejectIfUnresponsive(engine, NOW_NS + 1_600 * MS));
        assertTrue(detector.ejectIfUnresponsive(engine, NOW_NS + 1_600 * MS + 1));
        assertTrue(engine.isEjected(NOW_NS + 1_700 * MS));
    }

    @Test
    void activityOfAnyQueryPostponesTheEjection() {
        start();
        engine.lastActivityNs = NOW_NS + 1_000 * MS;
        assertFalse(detector.ejectIfUnresponsive(engine, NOW_NS + 2_000 * MS));
    }

    @Test
    void ejectedEngineIsNotEjectedAgain() {
        start();
        assertTrue(detector.ejectIfUnresponsive(engine, NOW_NS + 2_000 * MS));
        assertFalse(detector.ejectIfUnresponsive(engine, NOW_NS + 2_000 * MS));
    }

    @Test
    void withoutProgressMessagesTheLimitIsEightExpectedDurations() {
        OutlierDetector withoutProgress = new OutlierDetector(0, new ResponseTimeModel());
        start();
        assertFalse(withoutProgress.ejectIfUnresponsive(engine, NOW_NS + 799 * MS));
        assertTrue(withoutProgress.ejectIfUnresponsive(engine, NOW_NS + 801 * MS));
    }

    private void start() {
        TestStates.start(TestStates.query(1, RouterHarness.shortClass("lookup")), engine, NOW_NS);
    }
}
