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

    private static void busy(Router r, String... engines) {
        for (String e : engines) {
            r.reports.put(e, BUSY);
            r.on(new HealthCheckCompleted(e, Outcome.SERVED, MS, BUSY));
        }
    }

    private static Router reports(String... engines) {
        return Router.with(report(Set.of(), Set.of()), look("look")).engines(engines);
    }

    @Test
    void underPressureTheBoundSeedsFromCoresAndHoldsTheRest() {
        Router r = reports("a");
        busy(r, "a");
        for (int i = 0; i < 10; i++) {
            r.ask(i, "report", null, 1_000);
        }
        assertEquals(3, r.sends().size()); // 1.5 threads x 4 cores, two threads each
    }

    @Test
    void anEngineThatRunsNoneOfOursIsOpenUnderPressure() {
        Router r =
                new Router(Router.settings(6, ALLOWED, LIMITS, report(Set.of(), Set.of())))
                        .engines("a", "b");
        busy(r, "a", "b");
        for (int i = 0; i < 5; i++) {
            r.ask(i, "report", null, 1_000);
        }
        assertEquals(Set.of("a", "b"), new HashSet<>(enginesOf(r.actions)));
        assertEquals(2, r.sends().size());
    }

    /**
     * Lookups one after the other; those named answer with an error at once. Returns the sends to
     * {@code a}.
     */
    private static long sendsToA(int lookups, Set<String> bad) {
        Router r = Router.with(look("look")).engines("a", "b", "c");
        for (int i = 0; i < lookups; i++) {
            r.ask(i, "look", null, 20);
            for (int shot = 0; r.outstanding.containsKey((long) i); shot++) {
                String e = r.outstanding.get((long) i).engine();
                r.pass(bad.contains(e) ? 3 : 20);
                r.end(
                        i,
                        shot,
                        e,
                        bad.contains(e) ? Outcome.ERROR : Outcome.SERVED,
                        bad.contains(e) ? 3 : 20);
            }
        }
        return enginesOf(r.actions).stream().filter("a"::equals).count();
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
            Router r = Router.with(look("look")).engines("a", "b", "c");
            for (int i = 0; i < 20; i++) {
                r.ask(i, "look", null, 20);
                String first = r.outstanding.get((long) i).engine();
                r.end(i, 0, first, outcome, 3);
                r.pass(300);
                assertNotEquals(first, r.outstanding.get((long) i).engine(), outcome.toString());
                r.end(i, 1, r.outstanding.get((long) i).engine(), Outcome.SERVED, 20);
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
        Router r = reports("a");
        for (int i = 0; i < 40; i++) {
            r.ask(i, "report", null, 1_000);
        }
        assertEquals(6, r.sends().size());
    }

    @Test
    void heldQueriesLeaveHighestWorthFirst() {
        Router r =
                Router.with(
                                look("plain"),
                                report(Set.of(), Set.of()),
                                load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .engines();
        r.ask(1, "plain", null, 1_000);
        r.ask(2, "load", null, 1_000);
        r.ask(3, "report", null, 1_000);
        r.engines("a");
        assertEquals(List.of(3L, 2L, 1L), r.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void amongEqualWorthTheShortestLeavesFirst() {
        Router r = reports();
        r.ask(1, "report", null, 3_000);
        r.ask(2, "report", null, 1_000);
        r.ask(3, "report", null, 2_000);
        r.engines("a");
        assertEquals(List.of(2L, 3L, 1L), r.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void amongAlikeTheOldestLeavesFirstAlsoWhileTheUsualTimeIsLearnt() {
        Router r = Router.with(look("look")).engines("a");
        for (int i = 0; i < 80; i++) {
            r.ask(i, "look", null, 0); // without estimates
            if (i > 30 && i % 2 == 0) {
                r.now += MS;
                r.serve(1, 2); // far under what was taken for usual, which falls with each answer
            }
        }
        assertTrue(r.sends().size() < 80, "none was held");
        for (int i = 0; i < 100; i++) {
            r.now += MS;
            r.serve(1, 2);
        }
        List<Long> order = r.sends().stream().map(StartAttempt::id).toList();
        assertEquals(80, order.size());
        assertEquals(order.stream().sorted().toList(), order);
    }

    @Test
    void theLighterOfTwoEnginesIsChosen() {
        Router r = reports("a", "b");
        String first = enginesOf(r.ask(1, "report", null, 5_000)).get(0);
        for (int i = 2; i < 6; i++) {
            assertNotEquals(first, enginesOf(r.ask(i, "report", null, 100)).get(0));
        }
    }

    /**
     * Plays that many rounds of that length in each of which one query is served and its place is
     * taken.
     */
    private static void play(Router r, int rounds, long ms) {
        for (int i = 0; i < rounds; i++) {
            r.pass(ms);
            r.serve(1, 4_000);
        }
    }

    private static Router underPressure(int queries) {
        Router r = reports("a");
        busy(r, "a");
        for (int i = 0; i < queries; i++) {
            r.ask(i, "report", null, 9_000);
        }
        return r;
    }

    @Test
    void theBoundStepsUpWhileQueriesAreHeldForAPeriod() {
        Router r = underPressure(100);
        assertEquals(3, r.outstanding.size());
        play(r, 22, 100);
        assertEquals(4, r.outstanding.size());
    }

    @Test
    void aStepUpThatGainedNothingIsUndone() {
        Router r = underPressure(100);
        play(r, 21, 100);
        assertEquals(4, r.outstanding.size());
        play(r, 16, 130); // the next period gained nothing
        assertEquals(3, r.outstanding.size());
    }

    @Test
    void aBoundGrowsToTwiceItsSeedAtMost() {
        Router r = underPressure(20);
        long id = 1_000;
        for (long ms = 150; ms > 40; ms -= 10) { // each period gains
            for (int i = 0; i < 2_100 / ms; i++) {
                r.ask(id++, "report", null, 9_000);
                play(r, 1, ms);
            }
        }
        assertEquals(6, r.outstanding.size()); // a seed of six threads, two threads each
    }

    @Test
    void aPeriodWithOneAnswerMovesNothing() {
        Router r = underPressure(20);
        r.pass(1_000);
        r.serve(1, 4_000);
        r.pass(3_000);
        assertEquals(3, r.outstanding.size());
    }

    @Test
    void briefQueriesGetRoomBesideTheBound() {
        Router r = reports("a");
        busy(r, "a");
        for (int i = 0; i < 10; i++) {
            r.ask(i, "report", null, 2_000);
        }
        int full = r.sends().size();
        r.ask(20, "look", null, 50);
        assertEquals(full + 1, r.sends().size());
    }

    @Test
    void aRefusalPausesTheEngine() {
        Router r = reports("a");
        r.ask(1, "report", null, 100);
        assertTrue(only(StartAttempt.class, r.end(1, 0, "a", Outcome.REJECTED, 1)).isEmpty());
        assertTrue(only(StartAttempt.class, r.pass(190)).isEmpty());
        assertEquals(1, only(StartAttempt.class, r.pass(200)).size());
    }

    @Test
    void whatWasGivenUpButRunsOnStillCounts() {
        Capabilities noCancel =
                new Capabilities(true, false, 4, 0, false, false, 1, false, 0, false, true, false);
        Router r =
                new Router(Router.settings(6, noCancel, LIMITS, report(Set.of(), Set.of())))
                        .engines("a");
        busy(r, "a");
        r.ask(1, "report", null, 1_000);
        r.pass(1_000);
        busy(r, "a");
        assertTrue(only(StartAttempt.class, r.end(1, 0, "a", Outcome.TIMED_OUT, 1_000)).isEmpty());
        assertEquals(1, only(StartAttempt.class, r.pass(600)).size());
    }

    @Test
    void queriesThatRunForLongArePressureBeforeTheyEnd() {
        Router r = reports("a");
        r.ask(1, "report", null, 400);
        r.ask(2, "report", null, 400);
        r.ask(3, "report", null, 400);
        r.pass(1_000);
        r.ask(4, "report", null, 400);
        assertEquals(3, r.sends().size());
    }

    @Test
    void aSilentEngineIsAvoidedAndLeftThoughItAnswersProbes() {
        Router r = reports("a", "b", "c");
        String silent = enginesOf(r.ask(1, "report", null, 5_000)).get(0);
        r.pass(1_000);
        assertTrue(
                only(
                                CancelAttempt.class,
                                r.on(
                                        new AttemptProgress(
                                                1, 0, silent, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
        assertTrue(only(CancelAttempt.class, r.pass(1_500)).isEmpty());
        assertEquals(List.of(new CancelAttempt(1, 0)), only(CancelAttempt.class, r.pass(200)));
        List<Log> lines = only(Log.class, r.actions);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).text().contains(silent), lines.get(0).text());
        r.end(1, 0, silent, Outcome.CANCELLED, 1_000);
        assertNotEquals(silent, r.sends().get(1).engine());
    }

    @Test
    void whereMostEnginesLookBadNoneIsAvoided() {
        Router r = reports("a", "b");
        for (int i = 0; i < 2; i++) {
            r.end(i, 0, enginesOf(r.ask(i, "report", null, 100)).get(0), Outcome.CONNECT_FAILED, 1);
        }
        assertEquals(1, enginesOf(r.ask(9, "report", null, 100)).size());
    }

    @Test
    void aBadPlanIsCancelledAndSentAgain() {
        Router r = reports("a", "b");
        String engine = enginesOf(r.ask(1, "report", null, 1_000)).get(0);
        r.pass(1_000);
        List<Action> decided =
                r.on(new AttemptProgress(1, 0, engine, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(List.of(new CancelAttempt(1, 0)), only(CancelAttempt.class, decided));
        r.end(1, 0, engine, Outcome.CANCELLED, 1_000);
        assertEquals(2, r.sends().size());
    }

    @Test
    void aPlanThatGoesWellIsLeftAlone() {
        Router r = reports("a", "b");
        String engine = enginesOf(r.ask(1, "report", null, 1_000)).get(0);
        r.pass(1_000);
        assertTrue(
                only(
                                CancelAttempt.class,
                                r.on(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.8)))
                        .isEmpty());
    }

    @Test
    void loadsAndReadersOfAGroupKeepToDifferentEngines() {
        Router r =
                Router.with(
                                report(Set.of(), Set.of()),
                                load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .engines("a", "b", "c", "d");
        Set<String> loads = new HashSet<>();
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 40; i += 2) {
            loads.addAll(enginesOf(r.ask(i, "load", null, 10)));
            r.end(i, 0, r.sends().get(i).engine(), Outcome.SERVED, 5);
            readers.addAll(enginesOf(r.ask(i + 1, "report", null, 10)));
            r.end(i + 1, 0, r.sends().get(i + 1).engine(), Outcome.SERVED, 5);
        }
        assertEquals(2, loads.size());
        loads.retainAll(readers);
        assertTrue(loads.isEmpty());
    }

    @Test
    void underPressureFreeClassesLeaveTheKindsThatBoundClassesNeed() {
        Router r = Router.with(look("look"), report(Set.of("big"), Set.of()));
        r.list(
                EndpointListKind.SNAPSHOT,
                Router.ready("a"),
                Router.entry("b", "z1", "small", EndpointState.READY, 0),
                Router.entry("drains", "z1", "small", EndpointState.DRAINING, 0));
        r.reports.put("a", new LoadReport(0, 0.5, Double.NaN, Double.NaN));
        r.reports.put("b", r.reports.get("a"));
        for (String e : List.of("a", "b")) {
            r.on(new HealthCheckCompleted(e, Outcome.SERVED, MS, r.reports.get(e)));
        }
        busy(r, "drains"); // one of three is under pressure
        r.pass(60);
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), enginesOf(r.ask(i, "look", null, 50)));
            r.serve(1, 50);
        }
        r.reports.put("b", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        r.pass(1_000);
        assertEquals(List.of("a"), enginesOf(r.ask(30, "look", null, 50)));
    }

    @Test
    void lateHeldQueriesAreGivenUpWhileOthersCanBeInTime() {
        Router r = reports();
        r.ask(1, "look", null, 50);
        r.pass(400);
        r.ask(2, "report", null, 50);
        assertEquals(
                List.of(1L), only(Reject.class, r.pass(300)).stream().map(Reject::id).toList());
    }

    @Test
    void spillsRaiseTheGrantAndItStaysUnderTheLargest() {
        Router r = reports("a");
        long first =
                only(SetAttemptResources.class, r.ask(0, "report", null, 100)).get(0).memoryMb();
        for (int i = 0; i < 100; i++) {
            r.on(new AttemptProgress(i, 0, "a", ProgressKind.SPILLED_MB, 50));
            r.end(i, 0, "a", Outcome.SERVED, 50);
            r.ask(i + 1, "report", null, 100);
        }
        List<SetAttemptResources> terms = only(SetAttemptResources.class, r.actions);
        assertTrue(terms.get(100).memoryMb() > first);
        assertTrue(terms.get(100).memoryMb() <= 0.4 * 8_000);
    }

    @Test
    void aGatewayThatKeepsTheEnginesBusyAloneGetsMoreThanAnEqualShare() {
        Router r =
                new Router(Router.settings(6, ALLOWED, LIMITS, report(Set.of(), Set.of())))
                        .engines("a");
        LoadReport half = new LoadReport(0, 0.5, 0.5, Double.NaN);
        r.on(new HealthCheckCompleted("a", Outcome.SERVED, MS, half));
        r.ask(1, "report", null, 20_000);
        for (int i = 0; i < 50; i++) {
            r.pass(100);
            r.on(new HealthCheckCompleted("a", Outcome.SERVED, MS, half));
        }
        for (int i = 2; i < 20; i++) {
            r.ask(i, "report", null, 20_000);
        }
        assertTrue(
                r.sends().size() > 3,
                r.sends().size() + " sent"); // an equal share floods up to two threads
    }
}
