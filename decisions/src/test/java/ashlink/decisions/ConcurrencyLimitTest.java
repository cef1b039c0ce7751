package ashlink.decisions;

import static ashlink.decisions.RouterHarness.CAPABILITIES;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.ofType;
import static ashlink.decisions.RouterHarness.reportClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests, through the workload manager, the concurrency limit of an engine: its initial value, its
 * adjustment and which queries may exceed it.
 */
class ConcurrencyLimitTest {

    @Test
    void overloadedEngineRunsUpToTheInitialLimit() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        router.reportOverload("a");
        for (int i = 0; i < 10; i++) {
            router.submit(i, "report", null, 1_000);
        }
        // The initial limit is 1.5 threads x 4 cores; each query uses two threads.
        assertEquals(3, router.startedAttempts().size());
    }

    @Test
    void overloadedEngineWithoutQueriesOfThisRouterAcceptsOne() {
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        6, CAPABILITIES, LIMITS, reportClass(Set.of(), Set.of())))
                        .withEngines("a", "b");
        router.reportOverload("a", "b");
        for (int i = 0; i < 5; i++) {
            router.submit(i, "report", null, 1_000);
        }
        assertEquals(Set.of("a", "b"), new HashSet<>(enginesOf(router.actions)));
        assertEquals(2, router.startedAttempts().size());
    }

    @Test
    void engineWithoutOverloadRunsUpToTwiceTheInitialLimit() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        for (int i = 0; i < 40; i++) {
            router.submit(i, "report", null, 1_000);
        }
        assertEquals(6, router.startedAttempts().size());
    }

    /** Serves the oldest query at the end of each of several intervals. */
    private static void serveRounds(RouterHarness router, int rounds, long ms) {
        for (int i = 0; i < rounds; i++) {
            router.advanceMs(ms);
            router.serveOldest(1, 4_000);
        }
    }

    private static RouterHarness overloadedRouter(int queries) {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        router.reportOverload("a");
        for (int i = 0; i < queries; i++) {
            router.submit(i, "report", null, 9_000);
        }
        return router;
    }

    @Test
    void limitIsRaisedAfterASaturatedPeriod() {
        RouterHarness router = overloadedRouter(100);
        assertEquals(3, router.inFlight.size());
        serveRounds(router, 22, 100);
        assertEquals(4, router.inFlight.size());
    }

    @Test
    void stepUpWithoutHigherThroughputIsUndone() {
        RouterHarness router = overloadedRouter(100);
        serveRounds(router, 21, 100);
        assertEquals(4, router.inFlight.size());
        // The throughput of the next period does not increase.
        serveRounds(router, 16, 130);
        assertEquals(3, router.inFlight.size());
    }

    @Test
    void limitGrowsToTwiceItsInitialValue() {
        RouterHarness router = overloadedRouter(20);
        long id = 1_000;
        // The throughput increases from period to period.
        for (long ms = 150; ms > 40; ms -= 10) {
            for (int i = 0; i < 2_100 / ms; i++) {
                router.submit(id++, "report", null, 9_000);
                serveRounds(router, 1, ms);
            }
        }
        // The limit is twice the initial six threads; each query uses two threads.
        assertEquals(6, router.inFlight.size());
    }

    @Test
    void periodWithOneCompletionDoesNotAdjustTheLimit() {
        RouterHarness router = overloadedRouter(20);
        router.advanceMs(1_000);
        router.serveOldest(1, 4_000);
        router.advanceMs(3_000);
        assertEquals(3, router.inFlight.size());
    }

    @Test
    void shortQueriesHaveCapacityBeyondTheLimit() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        router.reportOverload("a");
        for (int i = 0; i < 10; i++) {
            router.submit(i, "report", null, 2_000);
        }
        int before = router.startedAttempts().size();
        router.submit(20, "lookup", null, 50);
        assertEquals(before + 1, router.startedAttempts().size());
    }

    @Test
    void rejectionPausesTheEngine() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        router.submit(1, "report", null, 100);
        assertTrue(
                ofType(StartAttempt.class, router.endAttempt(1, 0, "a", Outcome.REJECTED, 1))
                        .isEmpty());
        assertTrue(ofType(StartAttempt.class, router.advanceMs(190)).isEmpty());
        assertEquals(1, ofType(StartAttempt.class, router.advanceMs(200)).size());
    }

    @Test
    void abandonedAttemptStillCountsAsLoad() {
        Capabilities withoutCancellation =
                new Capabilities(true, false, 4, 0, false, false, 1, false, 0, false, true, false);
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        6,
                                        withoutCancellation,
                                        LIMITS,
                                        reportClass(Set.of(), Set.of())))
                        .withEngines("a");
        router.reportOverload("a");
        router.submit(1, "report", null, 1_000);
        router.advanceMs(1_000);
        router.reportOverload("a");
        assertTrue(
                ofType(StartAttempt.class, router.endAttempt(1, 0, "a", Outcome.TIMED_OUT, 1_000))
                        .isEmpty());
        assertEquals(1, ofType(StartAttempt.class, router.advanceMs(600)).size());
    }

    @Test
    void overdueRunningQueriesIndicateOverload() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        router.submit(1, "report", null, 400);
        router.submit(2, "report", null, 400);
        router.submit(3, "report", null, 400);
        router.advanceMs(1_000);
        router.submit(4, "report", null, 400);
        assertEquals(3, router.startedAttempts().size());
    }

    @Test
    void routerWithMostTrafficGetsMoreThanAnEqualPart() {
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        6, CAPABILITIES, LIMITS, reportClass(Set.of(), Set.of())))
                        .withEngines("a");
        LoadReport halfBusy = new LoadReport(0, 0.5, 0.5, Double.NaN);
        router.deliver(new HealthCheckCompleted("a", Outcome.SERVED, MS, halfBusy));
        router.submit(1, "report", null, 20_000);
        for (int i = 0; i < 50; i++) {
            router.advanceMs(100);
            router.deliver(new HealthCheckCompleted("a", Outcome.SERVED, MS, halfBusy));
        }
        for (int i = 2; i < 20; i++) {
            router.submit(i, "report", null, 20_000);
        }
        // With an equal part of the traffic, the largest limit would be two threads.
        assertTrue(
                router.startedAttempts().size() > 3, router.startedAttempts().size() + " started");
    }
}
