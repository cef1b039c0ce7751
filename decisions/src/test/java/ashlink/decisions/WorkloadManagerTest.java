package ashlink.decisions;

import static ashlink.decisions.RouterHarness.CAPABILITIES;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.loadClass;
import static ashlink.decisions.RouterHarness.ofType;
import static ashlink.decisions.RouterHarness.reportClass;
import static ashlink.decisions.RouterHarness.shortClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.RetrySafety;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The parts of the mechanism and the guards around it. */
class WorkloadManagerTest {

    private static final LoadReport OVERLOADED = new LoadReport(1, 1, 1, 1);

    private static void reportOverload(RouterHarness router, String... engines) {
        for (String text : engines) {
            router.loadReports.put(text, OVERLOADED);
            router.deliver(new HealthCheckCompleted(text, Outcome.SERVED, MS, OVERLOADED));
        }
    }

    private static RouterHarness routerWithEngines(String... engines) {
        return RouterHarness.withClasses(reportClass(Set.of(), Set.of()), shortClass("lookup"))
                .withEngines(engines);
    }

    @Test
    void overloadedEngineRunsTheInitialLimitAndTheRestQueues() {
        RouterHarness router = routerWithEngines("a");
        reportOverload(router, "a");
        for (int i = 0; i < 10; i++) {
            router.submit(i, "report", null, 1_000);
        }
        assertEquals(3, router.startedAttempts().size()); // 1.5 threads x 4 cores, two threads each
    }

    @Test
    void overloadedEngineWithoutOwnQueriesTakesOne() {
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        6, CAPABILITIES, LIMITS, reportClass(Set.of(), Set.of())))
                        .withEngines("a", "b");
        reportOverload(router, "a", "b");
        for (int i = 0; i < 5; i++) {
            router.submit(i, "report", null, 1_000);
        }
        assertEquals(Set.of("a", "b"), new HashSet<>(enginesOf(router.actions)));
        assertEquals(2, router.startedAttempts().size());
    }

    /**
     * Lookups one after the other; those named answer with an error at once. Returns the sends to
     * {@code a}.
     */
    private static long attemptsOnA(int lookups, Set<String> bad) {
        RouterHarness router =
                RouterHarness.withClasses(shortClass("lookup")).withEngines("a", "b", "c");
        for (int i = 0; i < lookups; i++) {
            router.submit(i, "lookup", null, 20);
            for (int shot = 0; router.inFlight.containsKey((long) i); shot++) {
                String text = router.inFlight.get((long) i).engine();
                router.advanceMs(bad.contains(text) ? 3 : 20);
                router.endAttempt(
                        i,
                        shot,
                        text,
                        bad.contains(text) ? Outcome.ERROR : Outcome.SERVED,
                        bad.contains(text) ? 3 : 20);
            }
        }
        return enginesOf(router.actions).stream().filter("a"::equals).count();
    }

    @Test
    void engineThatReturnsErrorsIsEjected() {
        long sent = attemptsOnA(200, Set.of("a"));
        assertTrue(sent >= 3 && sent <= 20, "sent " + sent);
    }

    @Test
    void retryGoesToAnotherEngineIfThereIsOne() {
        for (Outcome outcome :
                List.of(Outcome.ERROR, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NOT_SENT)) {
            RouterHarness router =
                    RouterHarness.withClasses(shortClass("lookup")).withEngines("a", "b", "c");
            for (int i = 0; i < 20; i++) {
                router.submit(i, "lookup", null, 20);
                String first = router.inFlight.get((long) i).engine();
                router.endAttempt(i, 0, first, outcome, 3);
                router.advanceMs(300);
                assertNotEquals(first, router.inFlight.get((long) i).engine(), outcome.toString());
                router.endAttempt(i, 1, router.inFlight.get((long) i).engine(), Outcome.SERVED, 20);
            }
        }
        RouterHarness alone = RouterHarness.withClasses(shortClass("lookup")).withEngines("a");
        alone.submit(1, "lookup", null, 20);
        alone.endAttempt(1, 0, "a", Outcome.ERROR, 3);
        alone.advanceMs(300);
        assertEquals(List.of("a", "a"), enginesOf(alone.actions));
    }

    @Test
    void noneIsEjectedIfAllEnginesReturnErrors() {
        long all = attemptsOnA(200, Set.of("a", "b", "c"));
        assertTrue(all > 200, "sent " + all); // a third of four attempts each
    }

    @Test
    void engineWithoutOverloadTakesTwiceItsInitialLimit() {
        RouterHarness router = routerWithEngines("a");
        for (int i = 0; i < 40; i++) {
            router.submit(i, "report", null, 1_000);
        }
        assertEquals(6, router.startedAttempts().size());
    }

    @Test
    void queuedQueriesStartInOrderOfPriorityWeight() {
        RouterHarness router =
                RouterHarness.withClasses(
                                shortClass("plain"),
                                reportClass(Set.of(), Set.of()),
                                loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .withEngines();
        router.submit(1, "plain", null, 1_000);
        router.submit(2, "load", null, 1_000);
        router.submit(3, "report", null, 1_000);
        router.withEngines("a");
        assertEquals(
                List.of(3L, 2L, 1L),
                router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void queriesOfEqualWeightStartInOrderOfWork() {
        RouterHarness router = routerWithEngines();
        router.submit(1, "report", null, 3_000);
        router.submit(2, "report", null, 1_000);
        router.submit(3, "report", null, 2_000);
        router.withEngines("a");
        assertEquals(
                List.of(2L, 3L, 1L),
                router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void likeQueriesStartInOrderOfSubmissionWhileEstimatesAreCorrected() {
        RouterHarness router = RouterHarness.withClasses(shortClass("lookup")).withEngines("a");
        for (int i = 0; i < 80; i++) {
            router.submit(i, "lookup", null, 0); // without estimates
            if (i > 30 && i % 2 == 0) {
                router.nowNs += MS;
                router.serveOldest(
                        1, 2); // far under what was taken for usual, which falls with each answer
            }
        }
        assertTrue(router.startedAttempts().size() < 80, "none was held");
        for (int i = 0; i < 100; i++) {
            router.nowNs += MS;
            router.serveOldest(1, 2);
        }
        List<Long> order = router.startedAttempts().stream().map(StartAttempt::id).toList();
        assertEquals(80, order.size());
        assertEquals(order.stream().sorted().toList(), order);
    }

    @Test
    void lessLoadedOfTwoEnginesIsChosen() {
        RouterHarness router = routerWithEngines("a", "b");
        String first = enginesOf(router.submit(1, "report", null, 5_000)).get(0);
        for (int i = 2; i < 6; i++) {
            assertNotEquals(first, enginesOf(router.submit(i, "report", null, 100)).get(0));
        }
    }

    /**
     * Plays that many rounds of that length in each of which one query is served and its place is
     * taken.
     */
    private static void serveRounds(RouterHarness router, int rounds, long ms) {
        for (int i = 0; i < rounds; i++) {
            router.advanceMs(ms);
            router.serveOldest(1, 4_000);
        }
    }

    private static RouterHarness overloadedRouter(int queries) {
        RouterHarness router = routerWithEngines("a");
        reportOverload(router, "a");
        for (int i = 0; i < queries; i++) {
            router.submit(i, "report", null, 9_000);
        }
        return router;
    }

    @Test
    void limitStepsUpAfterASaturatedPeriod() {
        RouterHarness router = overloadedRouter(100);
        assertEquals(3, router.inFlight.size());
        serveRounds(router, 22, 100);
        assertEquals(4, router.inFlight.size());
    }

    @Test
    void stepUpWithoutGainInThroughputIsUndone() {
        RouterHarness router = overloadedRouter(100);
        serveRounds(router, 21, 100);
        assertEquals(4, router.inFlight.size());
        serveRounds(router, 16, 130); // the next period gained nothing
        assertEquals(3, router.inFlight.size());
    }

    @Test
    void limitGrowsToTwiceItsInitialValue() {
        RouterHarness router = overloadedRouter(20);
        long id = 1_000;
        for (long ms = 150; ms > 40; ms -= 10) { // each period gains
            for (int i = 0; i < 2_100 / ms; i++) {
                router.submit(id++, "report", null, 9_000);
                serveRounds(router, 1, ms);
            }
        }
        assertEquals(6, router.inFlight.size()); // a seed of six threads, two threads each
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
        RouterHarness router = routerWithEngines("a");
        reportOverload(router, "a");
        for (int i = 0; i < 10; i++) {
            router.submit(i, "report", null, 2_000);
        }
        int full = router.startedAttempts().size();
        router.submit(20, "lookup", null, 50);
        assertEquals(full + 1, router.startedAttempts().size());
    }

    @Test
    void rejectionPausesTheEngine() {
        RouterHarness router = routerWithEngines("a");
        router.submit(1, "report", null, 100);
        assertTrue(
                ofType(StartAttempt.class, router.endAttempt(1, 0, "a", Outcome.REJECTED, 1))
                        .isEmpty());
        assertTrue(ofType(StartAttempt.class, router.advanceMs(190)).isEmpty());
        assertEquals(1, ofType(StartAttempt.class, router.advanceMs(200)).size());
    }

    @Test
    void abandonedAttemptStillCountsAsLoad() {
        Capabilities noCancel =
                new Capabilities(true, false, 4, 0, false, false, 1, false, 0, false, true, false);
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        6, noCancel, LIMITS, reportClass(Set.of(), Set.of())))
                        .withEngines("a");
        reportOverload(router, "a");
        router.submit(1, "report", null, 1_000);
        router.advanceMs(1_000);
        reportOverload(router, "a");
        assertTrue(
                ofType(StartAttempt.class, router.endAttempt(1, 0, "a", Outcome.TIMED_OUT, 1_000))
                        .isEmpty());
        assertEquals(1, ofType(StartAttempt.class, router.advanceMs(600)).size());
    }

    @Test
    void overdueRunningQueriesAreASignOfOverload() {
        RouterHarness router = routerWithEngines("a");
        router.submit(1, "report", null, 400);
        router.submit(2, "report", null, 400);
        router.submit(3, "report", null, 400);
        router.advanceMs(1_000);
        router.submit(4, "report", null, 400);
        assertEquals(3, router.startedAttempts().size());
    }

    @Test
    void unresponsiveEngineIsEjectedThoughItAnswersHealthChecks() {
        RouterHarness router = routerWithEngines("a", "b", "c");
        String silent = enginesOf(router.submit(1, "report", null, 5_000)).get(0);
        router.advanceMs(1_000);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, silent, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
        assertTrue(ofType(CancelAttempt.class, router.advanceMs(1_500)).isEmpty());
        assertEquals(
                List.of(new CancelAttempt(1, 0)),
                ofType(CancelAttempt.class, router.advanceMs(200)));
        List<Log> lines = ofType(Log.class, router.actions);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).text().contains(silent), lines.get(0).text());
        router.endAttempt(1, 0, silent, Outcome.CANCELLED, 1_000);
        assertNotEquals(silent, router.startedAttempts().get(1).engine());
    }

    @Test
    void noneIsEjectedIfMostEnginesFail() {
        RouterHarness router = routerWithEngines("a", "b");
        for (int i = 0; i < 2; i++) {
            router.endAttempt(
                    i,
                    0,
                    enginesOf(router.submit(i, "report", null, 100)).get(0),
                    Outcome.CONNECT_FAILED,
                    1);
        }
        assertEquals(1, enginesOf(router.submit(9, "report", null, 100)).size());
    }

    @Test
    void queryWithABadPlanIsRestarted() {
        RouterHarness router = routerWithEngines("a", "b");
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        router.advanceMs(1_000);
        List<Action> decided =
                router.deliver(new AttemptProgress(1, 0, engine, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(List.of(new CancelAttempt(1, 0)), ofType(CancelAttempt.class, decided));
        router.endAttempt(1, 0, engine, Outcome.CANCELLED, 1_000);
        assertEquals(2, router.startedAttempts().size());
    }

    @Test
    void queryWithGoodProgressIsNotRestarted() {
        RouterHarness router = routerWithEngines("a", "b");
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        router.advanceMs(1_000);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.8)))
                        .isEmpty());
    }

    @Test
    void loadsAndReadersOfATableGroupUseDifferentEngines() {
        RouterHarness router =
                RouterHarness.withClasses(
                                reportClass(Set.of(), Set.of()),
                                loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .withEngines("a", "b", "c", "d");
        Set<String> loads = new HashSet<>();
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 40; i += 2) {
            loads.addAll(enginesOf(router.submit(i, "load", null, 10)));
            router.endAttempt(i, 0, router.startedAttempts().get(i).engine(), Outcome.SERVED, 5);
            readers.addAll(enginesOf(router.submit(i + 1, "report", null, 10)));
            router.endAttempt(
                    i + 1, 0, router.startedAttempts().get(i + 1).engine(), Outcome.SERVED, 5);
        }
        assertEquals(2, loads.size());
        loads.retainAll(readers);
        assertTrue(loads.isEmpty());
    }

    @Test
    void unrestrictedQueriesAvoidRequiredKindsDuringOverload() {
        RouterHarness router =
                RouterHarness.withClasses(
                        shortClass("lookup"), reportClass(Set.of("big"), Set.of()));
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                RouterHarness.readyEndpoint("a"),
                RouterHarness.endpoint("b", "z1", "small", EndpointState.READY, 0),
                RouterHarness.endpoint("drains", "z1", "small", EndpointState.DRAINING, 0));
        router.loadReports.put("a", new LoadReport(0, 0.5, Double.NaN, Double.NaN));
        router.loadReports.put("b", router.loadReports.get("a"));
        for (String text : List.of("a", "b")) {
            router.deliver(
                    new HealthCheckCompleted(
                            text, Outcome.SERVED, MS, router.loadReports.get(text)));
        }
        reportOverload(router, "drains"); // one of three is under pressure
        router.advanceMs(60);
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), enginesOf(router.submit(i, "lookup", null, 50)));
            router.serveOldest(1, 50);
        }
        router.loadReports.put("b", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        router.advanceMs(1_000);
        assertEquals(List.of("a"), enginesOf(router.submit(30, "lookup", null, 50)));
    }

    @Test
    void queuedQueriesThatMissTheirObjectiveAreRejectedDuringContention() {
        RouterHarness router = routerWithEngines();
        router.submit(1, "lookup", null, 50);
        router.advanceMs(400);
        router.submit(2, "report", null, 50);
        assertEquals(
                List.of(1L),
                ofType(Reject.class, router.advanceMs(300)).stream().map(Reject::id).toList());
    }

    @Test
    void spillsRaiseTheGrantUpToTheLargest() {
        RouterHarness router = routerWithEngines("a");
        long first =
                ofType(SetAttemptResources.class, router.submit(0, "report", null, 100))
                        .get(0)
                        .memoryMb();
        for (int i = 0; i < 100; i++) {
            router.deliver(new AttemptProgress(i, 0, "a", ProgressKind.SPILLED_MB, 50));
            router.endAttempt(i, 0, "a", Outcome.SERVED, 50);
            router.submit(i + 1, "report", null, 100);
        }
        List<SetAttemptResources> terms = ofType(SetAttemptResources.class, router.actions);
        assertTrue(terms.get(100).memoryMb() > first);
        assertTrue(terms.get(100).memoryMb() <= 0.4 * 8_000);
    }

    @Test
    void routerWithMostTrafficGetsMoreThanAnEqualLimit() {
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        6, CAPABILITIES, LIMITS, reportClass(Set.of(), Set.of())))
                        .withEngines("a");
        LoadReport half = new LoadReport(0, 0.5, 0.5, Double.NaN);
        router.deliver(new HealthCheckCompleted("a", Outcome.SERVED, MS, half));
        router.submit(1, "report", null, 20_000);
        for (int i = 0; i < 50; i++) {
            router.advanceMs(100);
            router.deliver(new HealthCheckCompleted("a", Outcome.SERVED, MS, half));
        }
        for (int i = 2; i < 20; i++) {
            router.submit(i, "report", null, 20_000);
        }
        assertTrue(
                router.startedAttempts().size() > 3,
                router.startedAttempts().size()
                        + " sent"); // an equal share floods up to two threads
    }
}
