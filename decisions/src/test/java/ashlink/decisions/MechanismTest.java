package ashlink.decisions;

import static ashlink.decisions.Router.ALLOWED;
import static ashlink.decisions.Router.LIMITS;
import static ashlink.decisions.Router.MS;
import static ashlink.decisions.Router.enginesOf;
import static ashlink.decisions.Router.load;
import static ashlink.decisions.Router.look;
import static ashlink.decisions.Router.only;
import static ashlink.decisions.Router.report;
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
class MechanismTest {

    private static final LoadReport BUSY = new LoadReport(1, 1, 1, 1);

    private static void busy(Router router, String... engines) {
        for (String text : engines) {
            router.reports.put(text, BUSY);
            router.on(new HealthCheckCompleted(text, Outcome.SERVED, MS, BUSY));
        }
    }

    private static Router reports(String... engines) {
        return Router.with(report(Set.of(), Set.of()), look("look")).engines(engines);
    }

    @Test
    void underPressureTheBoundSeedsFromCoresAndHoldsTheRest() {
        Router router = reports("a");
        busy(router, "a");
        for (int i = 0; i < 10; i++) {
            router.ask(i, "report", null, 1_000);
        }
        assertEquals(3, router.sends().size()); // 1.5 threads x 4 cores, two threads each
    }

    @Test
    void anEngineThatRunsNoneOfOursIsOpenUnderPressure() {
        Router router =
                new Router(Router.settings(6, ALLOWED, LIMITS, report(Set.of(), Set.of())))
                        .engines("a", "b");
        busy(router, "a", "b");
        for (int i = 0; i < 5; i++) {
            router.ask(i, "report", null, 1_000);
        }
        assertEquals(Set.of("a", "b"), new HashSet<>(enginesOf(router.actions)));
        assertEquals(2, router.sends().size());
    }

    /**
     * Lookups one after the other; those named answer with an error at once. Returns the sends to
     * {@code a}.
     */
    private static long sendsToA(int lookups, Set<String> bad) {
        Router router = Router.with(look("look")).engines("a", "b", "c");
        for (int i = 0; i < lookups; i++) {
            router.ask(i, "look", null, 20);
            for (int shot = 0; router.outstanding.containsKey((long) i); shot++) {
                String text = router.outstanding.get((long) i).engine();
                router.pass(bad.contains(text) ? 3 : 20);
                router.end(
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
    void anEngineWhoseAnswersAreErrorsIsLeftAlone() {
        long sent = sendsToA(200, Set.of("a"));
        assertTrue(sent >= 3 && sent <= 20, "sent " + sent);
    }

    @Test
    void aFurtherAttemptGoesElsewhereIfItCan() {
        for (Outcome outcome :
                List.of(Outcome.ERROR, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NOT_SENT)) {
            Router router = Router.with(look("look")).engines("a", "b", "c");
            for (int i = 0; i < 20; i++) {
                router.ask(i, "look", null, 20);
                String first = router.outstanding.get((long) i).engine();
                router.end(i, 0, first, outcome, 3);
                router.pass(300);
                assertNotEquals(
                        first, router.outstanding.get((long) i).engine(), outcome.toString());
                router.end(i, 1, router.outstanding.get((long) i).engine(), Outcome.SERVED, 20);
            }
        }
        Router alone = Router.with(look("look")).engines("a");
        alone.ask(1, "look", null, 20);
        alone.end(1, 0, "a", Outcome.ERROR, 3);
        alone.pass(300);
        assertEquals(List.of("a", "a"), enginesOf(alone.actions));
    }

    @Test
    void whereAllAnswerWithErrorsNoneIsShunned() {
        long all = sendsToA(200, Set.of("a", "b", "c"));
        assertTrue(all > 200, "sent " + all); // a third of four attempts each
    }

    @Test
    void withoutPressureAnEngineTakesTwiceItsSeedAtMost() {
        Router router = reports("a");
        for (int i = 0; i < 40; i++) {
            router.ask(i, "report", null, 1_000);
        }
        assertEquals(6, router.sends().size());
    }

    @Test
    void heldQueriesLeaveHighestWorthFirst() {
        Router router =
                Router.with(
                                look("plain"),
                                report(Set.of(), Set.of()),
                                load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .engines();
        router.ask(1, "plain", null, 1_000);
        router.ask(2, "load", null, 1_000);
        router.ask(3, "report", null, 1_000);
        router.engines("a");
        assertEquals(List.of(3L, 2L, 1L), router.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void amongEqualWorthTheShortestLeavesFirst() {
        Router router = reports();
        router.ask(1, "report", null, 3_000);
        router.ask(2, "report", null, 1_000);
        router.ask(3, "report", null, 2_000);
        router.engines("a");
        assertEquals(List.of(2L, 3L, 1L), router.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void amongAlikeTheOldestLeavesFirstAlsoWhileTheUsualTimeIsLearnt() {
        Router router = Router.with(look("look")).engines("a");
        for (int i = 0; i < 80; i++) {
            router.ask(i, "look", null, 0); // without estimates
            if (i > 30 && i % 2 == 0) {
                router.now += MS;
                router.serve(
                        1, 2); // far under what was taken for usual, which falls with each answer
            }
        }
        assertTrue(router.sends().size() < 80, "none was held");
        for (int i = 0; i < 100; i++) {
            router.now += MS;
            router.serve(1, 2);
        }
        List<Long> order = router.sends().stream().map(StartAttempt::id).toList();
        assertEquals(80, order.size());
        assertEquals(order.stream().sorted().toList(), order);
    }

    @Test
    void theLighterOfTwoEnginesIsChosen() {
        Router router = reports("a", "b");
        String first = enginesOf(router.ask(1, "report", null, 5_000)).get(0);
        for (int i = 2; i < 6; i++) {
            assertNotEquals(first, enginesOf(router.ask(i, "report", null, 100)).get(0));
        }
    }

    /**
     * Plays that many rounds of that length in each of which one query is served and its place is
     * taken.
     */
    private static void play(Router router, int rounds, long ms) {
        for (int i = 0; i < rounds; i++) {
            router.pass(ms);
            router.serve(1, 4_000);
        }
    }

    private static Router underPressure(int queries) {
        Router router = reports("a");
        busy(router, "a");
        for (int i = 0; i < queries; i++) {
            router.ask(i, "report", null, 9_000);
        }
        return router;
    }

    @Test
    void theBoundStepsUpWhileQueriesAreHeldForAPeriod() {
        Router router = underPressure(100);
        assertEquals(3, router.outstanding.size());
        play(router, 22, 100);
        assertEquals(4, router.outstanding.size());
    }

    @Test
    void aStepUpThatGainedNothingIsUndone() {
        Router router = underPressure(100);
        play(router, 21, 100);
        assertEquals(4, router.outstanding.size());
        play(router, 16, 130); // the next period gained nothing
        assertEquals(3, router.outstanding.size());
    }

    @Test
    void aBoundGrowsToTwiceItsSeedAtMost() {
        Router router = underPressure(20);
        long id = 1_000;
        for (long ms = 150; ms > 40; ms -= 10) { // each period gains
            for (int i = 0; i < 2_100 / ms; i++) {
                router.ask(id++, "report", null, 9_000);
                play(router, 1, ms);
            }
        }
        assertEquals(6, router.outstanding.size()); // a seed of six threads, two threads each
    }

    @Test
    void aPeriodWithOneAnswerMovesNothing() {
        Router router = underPressure(20);
        router.pass(1_000);
        router.serve(1, 4_000);
        router.pass(3_000);
        assertEquals(3, router.outstanding.size());
    }

    @Test
    void briefQueriesGetRoomBesideTheBound() {
        Router router = reports("a");
        busy(router, "a");
        for (int i = 0; i < 10; i++) {
            router.ask(i, "report", null, 2_000);
        }
        int full = router.sends().size();
        router.ask(20, "look", null, 50);
        assertEquals(full + 1, router.sends().size());
    }

    @Test
    void aRefusalPausesTheEngine() {
        Router router = reports("a");
        router.ask(1, "report", null, 100);
        assertTrue(only(StartAttempt.class, router.end(1, 0, "a", Outcome.REJECTED, 1)).isEmpty());
        assertTrue(only(StartAttempt.class, router.pass(190)).isEmpty());
        assertEquals(1, only(StartAttempt.class, router.pass(200)).size());
    }

    @Test
    void whatWasGivenUpButRunsOnStillCounts() {
        Capabilities noCancel =
                new Capabilities(true, false, 4, 0, false, false, 1, false, 0, false, true, false);
        Router router =
                new Router(Router.settings(6, noCancel, LIMITS, report(Set.of(), Set.of())))
                        .engines("a");
        busy(router, "a");
        router.ask(1, "report", null, 1_000);
        router.pass(1_000);
        busy(router, "a");
        assertTrue(
                only(StartAttempt.class, router.end(1, 0, "a", Outcome.TIMED_OUT, 1_000))
                        .isEmpty());
        assertEquals(1, only(StartAttempt.class, router.pass(600)).size());
    }

    @Test
    void queriesThatRunForLongArePressureBeforeTheyEnd() {
        Router router = reports("a");
        router.ask(1, "report", null, 400);
        router.ask(2, "report", null, 400);
        router.ask(3, "report", null, 400);
        router.pass(1_000);
        router.ask(4, "report", null, 400);
        assertEquals(3, router.sends().size());
    }

    @Test
    void aSilentEngineIsAvoidedAndLeftThoughItAnswersProbes() {
        Router router = reports("a", "b", "c");
        String silent = enginesOf(router.ask(1, "report", null, 5_000)).get(0);
        router.pass(1_000);
        assertTrue(
                only(
                                CancelAttempt.class,
                                router.on(
                                        new AttemptProgress(
                                                1, 0, silent, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
        assertTrue(only(CancelAttempt.class, router.pass(1_500)).isEmpty());
        assertEquals(List.of(new CancelAttempt(1, 0)), only(CancelAttempt.class, router.pass(200)));
        List<Log> lines = only(Log.class, router.actions);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).text().contains(silent), lines.get(0).text());
        router.end(1, 0, silent, Outcome.CANCELLED, 1_000);
        assertNotEquals(silent, router.sends().get(1).engine());
    }

    @Test
    void whereMostEnginesLookBadNoneIsAvoided() {
        Router router = reports("a", "b");
        for (int i = 0; i < 2; i++) {
            router.end(
                    i,
                    0,
                    enginesOf(router.ask(i, "report", null, 100)).get(0),
                    Outcome.CONNECT_FAILED,
                    1);
        }
        assertEquals(1, enginesOf(router.ask(9, "report", null, 100)).size());
    }

    @Test
    void aBadPlanIsCancelledAndSentAgain() {
        Router router = reports("a", "b");
        String engine = enginesOf(router.ask(1, "report", null, 1_000)).get(0);
        router.pass(1_000);
        List<Action> decided =
                router.on(new AttemptProgress(1, 0, engine, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(List.of(new CancelAttempt(1, 0)), only(CancelAttempt.class, decided));
        router.end(1, 0, engine, Outcome.CANCELLED, 1_000);
        assertEquals(2, router.sends().size());
    }

    @Test
    void aPlanThatGoesWellIsLeftAlone() {
        Router router = reports("a", "b");
        String engine = enginesOf(router.ask(1, "report", null, 1_000)).get(0);
        router.pass(1_000);
        assertTrue(
                only(
                                CancelAttempt.class,
                                router.on(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.8)))
                        .isEmpty());
    }

    @Test
    void loadsAndReadersOfAGroupKeepToDifferentEngines() {
        Router router =
                Router.with(
                                report(Set.of(), Set.of()),
                                load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .engines("a", "b", "c", "d");
        Set<String> loads = new HashSet<>();
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 40; i += 2) {
            loads.addAll(enginesOf(router.ask(i, "load", null, 10)));
            router.end(i, 0, router.sends().get(i).engine(), Outcome.SERVED, 5);
            readers.addAll(enginesOf(router.ask(i + 1, "report", null, 10)));
            router.end(i + 1, 0, router.sends().get(i + 1).engine(), Outcome.SERVED, 5);
        }
        assertEquals(2, loads.size());
        loads.retainAll(readers);
        assertTrue(loads.isEmpty());
    }

    @Test
    void underPressureFreeClassesLeaveTheKindsThatBoundClassesNeed() {
        Router router = Router.with(look("look"), report(Set.of("big"), Set.of()));
        router.list(
                EndpointListKind.SNAPSHOT,
                Router.ready("a"),
                Router.entry("b", "z1", "small", EndpointState.READY, 0),
                Router.entry("drains", "z1", "small", EndpointState.DRAINING, 0));
        router.reports.put("a", new LoadReport(0, 0.5, Double.NaN, Double.NaN));
        router.reports.put("b", router.reports.get("a"));
        for (String text : List.of("a", "b")) {
            router.on(new HealthCheckCompleted(text, Outcome.SERVED, MS, router.reports.get(text)));
        }
        busy(router, "drains"); // one of three is under pressure
        router.pass(60);
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), enginesOf(router.ask(i, "look", null, 50)));
            router.serve(1, 50);
        }
        router.reports.put("b", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        router.pass(1_000);
        assertEquals(List.of("a"), enginesOf(router.ask(30, "look", null, 50)));
    }

    @Test
    void lateHeldQueriesAreGivenUpWhileOthersCanBeInTime() {
        Router router = reports();
        router.ask(1, "look", null, 50);
        router.pass(400);
        router.ask(2, "report", null, 50);
        assertEquals(
                List.of(1L),
                only(Reject.class, router.pass(300)).stream().map(Reject::id).toList());
    }

    @Test
    void spillsRaiseTheGrantAndItStaysUnderTheLargest() {
        Router router = reports("a");
        long first =
                only(SetAttemptResources.class, router.ask(0, "report", null, 100))
                        .get(0)
                        .memoryMb();
        for (int i = 0; i < 100; i++) {
            router.on(new AttemptProgress(i, 0, "a", ProgressKind.SPILLED_MB, 50));
            router.end(i, 0, "a", Outcome.SERVED, 50);
            router.ask(i + 1, "report", null, 100);
        }
        List<SetAttemptResources> terms = only(SetAttemptResources.class, router.actions);
        assertTrue(terms.get(100).memoryMb() > first);
        assertTrue(terms.get(100).memoryMb() <= 0.4 * 8_000);
    }

    @Test
    void aGatewayThatKeepsTheEnginesBusyAloneGetsMoreThanAnEqualShare() {
        Router router =
                new Router(Router.settings(6, ALLOWED, LIMITS, report(Set.of(), Set.of())))
                        .engines("a");
        LoadReport half = new LoadReport(0, 0.5, 0.5, Double.NaN);
        router.on(new HealthCheckCompleted("a", Outcome.SERVED, MS, half));
        router.ask(1, "report", null, 20_000);
        for (int i = 0; i < 50; i++) {
            router.pass(100);
            router.on(new HealthCheckCompleted("a", Outcome.SERVED, MS, half));
        }
        for (int i = 2; i < 20; i++) {
            router.ask(i, "report", null, 20_000);
        }
        assertTrue(
                router.sends().size() > 3,
                router.sends().size() + " sent"); // an equal share floods up to two threads
    }
}
