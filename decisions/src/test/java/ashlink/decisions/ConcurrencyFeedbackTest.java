package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Settings;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the initial value of a concurrency limit and its adjustment by measurement periods. */
class ConcurrencyFeedbackTest {

    private static final long PERIOD_MS = 2_000;

    /** Step of the limit: a quarter of the initial limit of 12 threads. */
    private static final double STEP_THREADS = 3;

    private final AdmissionQueue queue = new AdmissionQueue();
    private final FleetLoadEstimator fleetLoad = new FleetLoadEstimator();
    private final ConcurrencyLimit limit = new ConcurrencyLimit();
    private final ConcurrencyFeedback feedback =
            new ConcurrencyFeedback(limiter(1), fleetLoad, queue);
    private long nowNs = NOW_NS;

    ConcurrencyFeedbackTest() {
        limit.cores = 8;
        limit.periodStartNs = nowNs;
    }

    private ConcurrencyLimiter limiter(int routers) {
        List<EngineKind> kinds = List.of(new EngineKind("big", 8, 8_000));
        Settings settings =
                RouterHarness.settings(
                        routers,
                        RouterHarness.CAPABILITIES,
                        RouterHarness.LIMITS,
                        RouterHarness.shortClass("lookup"));
        return new ConcurrencyLimiter(
                settings,
                new SplittableRandom(7),
                new EngineDirectory(kinds),
                new ActiveQueries(),
                new ShortQueryClassifier(List.of()),
                fleetLoad,
                new OverloadDetector(new ResponseTimeModel(), fleetLoad));
    }

    /** Completes a measurement period of two seconds and returns the resulting adjustment. */
    private double afterPeriod(boolean saturated, int completions, long responseMs) {
        for (int i = 0; i < completions; i++) {
            limit.recordCompletion(responseMs * MS);
        }
        limit.saturated = saturated;
        nowNs += PERIOD_MS * MS;
        feedback.closePeriodIfComplete(limit, nowNs);
        return limit.adjustmentThreads;
    }

    @Test
    void initialLimitIsDividedAmongTheRouters() {
        assertEquals(12, limiter(1).initialThreads(limit));
        assertEquals(3, limiter(4).initialThreads(limit));
        assertEquals(1, limiter(100).initialThreads(limit));
    }

    @Test
    void firstSaturatedPeriodRaisesTheLimit() {
        assertEquals(STEP_THREADS, afterPeriod(true, 20, 100));
    }

    @Test
    void higherThroughputRaisesTheLimitAgain() {
        afterPeriod(true, 20, 100);
        assertEquals(2 * STEP_THREADS, afterPeriod(true, 22, 100));
    }

    @Test
    void stepUpWithoutHigherThroughputIsUndone() {
        afterPeriod(true, 20, 100);
        assertEquals(0, afterPeriod(true, 20, 100));
    }

    @Test
    void stepUpIsKeptAfterSlowerResponses() {
        afterPeriod(true, 20, 100);
        assertEquals(STEP_THREADS, afterPeriod(true, 20, 110));
    }

    @Test
    void stepUpIsKeptWhileObjectivesAreMissed() {
        QueryState query = TestStates.query(1, RouterHarness.shortClass("lookup"));
        queue.add(query);
        afterPeriod(true, 20, 100);
        assertEquals(STEP_THREADS, afterPeriod(true, 20, 100));
    }

    @Test
    void limitDoesNotExceedTwiceItsInitialValue() {
        double adjustment = 0;
        for (int completions = 20; completions < 90; completions += 10) {
            adjustment = afterPeriod(true, completions, 100);
        }
        assertEquals(12, adjustment);
    }

    @Test
    void unsaturatedLimitReturnsToItsInitialValue() {
        afterPeriod(true, 20, 100);
        assertEquals(0, afterPeriod(false, 100, 100));
        assertEquals(0, afterPeriod(false, 100, 100));
    }

    @Test
    void unsaturatedLimitFallsBelowItsInitialValueAfterARejection() {
        limit.lastRejectionNs = nowNs;
        assertEquals(-STEP_THREADS, afterPeriod(false, 100, 100));
    }

    @Test
    void stepDownThatReducedThroughputIsUndone() {
        limit.lastRejectionNs = nowNs;
        afterPeriod(false, 120, 100);
        assertEquals(0, afterPeriod(false, 100, 100));
    }

    @Test
    void unsaturatedPeriodNeedsOneHundredCompletions() {
        limit.lastRejectionNs = nowNs;
        assertEquals(0, afterPeriod(false, 99, 100));
    }

    @Test
    void saturatedPeriodNeedsTenCompletions() {
        assertEquals(0, afterPeriod(true, 9, 100));
        assertEquals(STEP_THREADS, afterPeriod(true, 1, 100));
    }
}
