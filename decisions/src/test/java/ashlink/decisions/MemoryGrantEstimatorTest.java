package ashlink.decisions;

import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Capabilities;
import org.junit.jupiter.api.Test;

/** Tests the size of memory grants; the memory estimate of the queries is 100 MB. */
class MemoryGrantEstimatorTest {

    private final MemoryGrantEstimator estimator =
            new MemoryGrantEstimator(RouterHarness.CAPABILITIES);
    private final QueryClassStatistics statistics =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));
    private final EngineState engine = TestStates.engine("a");

    private long grantMb() {
        return estimator.grantForAttemptMb(TestStates.query(1, statistics), engine);
    }

    private QueryState runningQuery() {
        QueryState query = TestStates.query(1, statistics);
        query.grantMb = estimator.grantForAttemptMb(query, engine);
        query.startAttempt(engine, NOW_NS);
        return query;
    }

    @Test
    void grantIsTheEstimateWithAMargin() {
        assertEquals(110, grantMb());
    }

    @Test
    void grantIsLimitedToAFractionOfTheEngineMemory() {
        engine.memoryMb = 200;
        assertEquals(80, grantMb());
    }

    @Test
    void grantIsZeroIfEnginesDoNotSupportGrants() {
        Capabilities none =
                new Capabilities(true, true, 4, 0, false, true, 0.4, true, 0, false, false, false);
        QueryState query = TestStates.query(1, statistics);
        assertEquals(0, new MemoryGrantEstimator(none).grantForAttemptMb(query, engine));
    }

    @Test
    void spillSetsTheNeededMemoryOfTheQuery() {
        QueryState query = runningQuery();
        estimator.recordSpill(query, 500);
        assertEquals(550, estimator.grantForAttemptMb(query, engine));
        estimator.recordSpill(query, 300);
        assertEquals(500, query.neededMemoryMb);
    }

    @Test
    void firstSpillCorrectsTheClassInFull() {
        estimator.recordSpill(runningQuery(), 500);
        assertEquals(550, grantMb());
    }

    @Test
    void laterNeedsCorrectTheClassInSmallSteps() {
        estimator.recordCompletion(runningQuery(), 100);
        double before = statistics.memoryBias();
        estimator.recordCompletion(runningQuery(), 1_000);
        assertEquals(Math.exp(0.1 * 0.75), statistics.memoryBias() / before, 1e-12);
        before = statistics.memoryBias();
        estimator.recordCompletion(runningQuery(), 10);
        assertEquals(Math.exp(-0.1 * 0.25), statistics.memoryBias() / before, 1e-12);
    }

    @Test
    void completionAfterASpillIsNotCountedAgain() {
        QueryState query = runningQuery();
        estimator.recordSpill(query, 500);
        double before = statistics.memoryBias();
        estimator.recordCompletion(query, 1_000);
        assertEquals(before, statistics.memoryBias());
    }

    @Test
    void grantIsTooSmallIfMuchMoreMemoryIsNeeded() {
        QueryState query = runningQuery();
        query.neededMemoryMb = 129;
        assertFalse(estimator.isGrantTooSmall(query));
        query.neededMemoryMb = 131;
        assertTrue(estimator.isGrantTooSmall(query));
    }
}
