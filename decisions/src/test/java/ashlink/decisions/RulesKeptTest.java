package ashlink.decisions;

import static ashlink.decisions.Router.ALLOWED;
import static ashlink.decisions.Router.LIMITS;
import static ashlink.decisions.Router.MS;
import static ashlink.decisions.Router.enginesOf;
import static ashlink.decisions.Router.entry;
import static ashlink.decisions.Router.load;
import static ashlink.decisions.Router.look;
import static ashlink.decisions.Router.only;
import static ashlink.decisions.Router.report;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.RetrySafety;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The seven rules, one by one. */
class RulesKeptTest {

    @Test
    void aHeldQueryIsRefusedBeforeItsDeadlineAndOnlyOnce() {
        Router r = Router.with(report(Set.of(), Set.of())).engines();
        r.ask(1, "report", null, 1, 100, 900);
        List<Reject> refused = only(Reject.class, r.pass(900));
        assertEquals(1, refused.size());
        assertTrue(refused.get(0).retryAfterNs() > 0);
        assertTrue(only(Reject.class, r.pass(5_000)).isEmpty());
    }

    @Test
    void aQueryWhoseTimeIsShortOnArrivalIsAnsweredAtOnce() {
        Router r = Router.with(look("look")).engines();
        assertEquals(1, only(Reject.class, r.ask(1, "look", null, 1, 100, 20)).size());
    }

    @Test
    void aQueryOfAnUnknownClassIsRefused() {
        Router r = Router.with(look("look")).engines("a");
        assertEquals(List.of(new Reject(1, 0)), only(Reject.class, r.ask(1, "other", null, 10)));
    }

    @Test
    void anUnsafeQueryThatMayHaveRunIsFailedAndNotSentAgain() {
        for (Outcome o :
                List.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED)) {
            Router r =
                    Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                            .engines("a", "b");
            String engine = enginesOf(r.ask(1, "load", null, 100)).get(0);
            assertEquals(
                    List.of(new Fail(1)), only(Fail.class, r.end(1, 0, engine, o, 100)), o.name());
            assertTrue(only(StartAttempt.class, r.pass(3_000)).isEmpty());
        }
    }

    @Test
    void anUnsafeQueryThatNeverRanIsSentAgain() {
        Router r =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .engines("a", "b");
        String engine = enginesOf(r.ask(1, "load", null, 100)).get(0);
        r.end(1, 0, engine, Outcome.CONNECT_FAILED, 1);
        r.pass(1_000);
        assertEquals(2, r.sends().size());
        assertTrue(!r.sends().get(1).engine().equals(engine));
    }

    @Test
    void aDeduplicatedQueryIsRepeatedOnlyInItsGroupAndWithinItsSpan() {
        Router r = Router.with(load(RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE, false));
        r.list(
                EndpointListKind.SNAPSHOT,
                Router.ready("a"),
                entry("far", "z2", "big", EndpointState.DRAINING, 0));
        r.ask(1, "load", null, 100);
        r.list(
                EndpointListKind.DELTA,
                entry("a", "z1", "big", EndpointState.DRAINING, 0),
                entry("far", "z2", "big", EndpointState.READY, 0),
                entry("near", "z1", "big", EndpointState.DRAINING, 0));
        r.end(1, 0, "a", Outcome.ERROR, 10);
        r.pass(500);
        assertEquals(1, r.sends().size());
        r.list(EndpointListKind.DELTA, Router.ready("near"));
        assertEquals("near", r.sends().get(1).engine());
        r.end(1, 1, "near", Outcome.ERROR, 10);
        assertEquals(3, r.sends().size());
        r.pass(2_000);
        r.end(1, 2, "near", Outcome.ERROR, 10);
        r.pass(1_000);
        assertEquals(3, r.sends().size());
    }

    @Test
    void neverTwoAttemptsOfOneQueryAreOut() {
        Router r = Router.with(report(Set.of(), Set.of())).engines("a", "b");
        r.ask(1, "report", null, 100);
        r.pass(10_000);
        assertEquals(1, r.sends().size());
    }

    @Test
    void nothingGoesToAnEngineThatDrainsIsGoneOrHasLeftAWholeList() {
        Router r = Router.with(look("look")).engines("a", "b", "c", "d");
        r.list(
                EndpointListKind.DELTA,
                entry("a", "z1", "big", EndpointState.DRAINING, 0),
                entry("b", "z1", "big", EndpointState.REMOVED, 0));
        r.list(
                EndpointListKind.SNAPSHOT,
                entry("a", "z1", "big", EndpointState.DRAINING, 0),
                Router.ready("c"));
        for (int i = 0; i < 30; i++) {
            assertEquals(List.of("c"), enginesOf(r.ask(i, "look", null, 10)));
            r.end(i, 0, "c", Outcome.SERVED, 10);
        }
    }

    @Test
    void aColdEngineIsSentLessThanOurShareOfWhatItBears() {
        Router r = new Router(Router.settings(2, ALLOWED, LIMITS, look("look")));
        r.list(
                EndpointListKind.SNAPSHOT,
                entry("cold", "z1", "big", EndpointState.READY, r.now - MS));
        for (int i = 0; i < 200; i++) {
            r.ask(i, "look", null, 1, 100, 1_000);
            if (!r.sends().isEmpty()) {
                r.end(r.sends().get(r.sends().size() - 1).id(), 0, "cold", Outcome.SERVED, 100);
            }
        }
        double bears = 3 * 0.3 * 4 * 0.85 * 2_000 / 2;
        assertTrue(!r.sends().isEmpty());
        assertTrue(r.sends().size() * 100 <= bears, r.sends().size() + " sent");
        r.pass(10_000);
        r.serve(100, 100);
        int before = r.sends().size();
        for (int i = 300; i < 310; i++) {
            r.ask(i, "look", null, 100);
            r.end(i, 0, "cold", Outcome.SERVED, 100);
        }
        assertEquals(before + 10, r.sends().size());
    }

    @Test
    void queriesOfAKeyRunOneAtATimeInOrder() {
        Router r =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        r.ask(1, "load", "k", 100);
        r.ask(2, "load", "k", 100);
        r.ask(3, "load", "other", 100);
        assertEquals(List.of(1L, 3L), r.sends().stream().map(StartAttempt::id).toList());
        r.end(1, 0, r.sends().get(0).engine(), Outcome.SERVED, 10);
        assertEquals(List.of(1L, 3L, 2L), r.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void aKeyRestsAfterAnAttemptThatMayStillRun() {
        Router r =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        r.ask(1, "load", "k", 100);
        r.ask(2, "load", "k", 100);
        r.end(1, 0, r.sends().get(0).engine(), Outcome.TIMED_OUT, 10);
        r.pass(299);
        assertEquals(1, r.sends().size());
        r.pass(60);
        assertEquals(2, r.sends().size());
    }

    @Test
    void aKeyWaitsForAnAttemptWhoseClientIsGone() {
        Router r =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        r.ask(1, "load", "k", 100);
        r.ask(2, "load", "k", 100);
        r.on(new ClientDisconnected(1));
        r.pass(500);
        assertEquals(1, r.sends().size());
        r.end(1, 0, r.sends().get(0).engine(), Outcome.SERVED, 10);
        assertEquals(2, r.sends().size());
    }

    @Test
    void aBoundClassIsHeldRatherThanSentElsewhere() {
        Router r = Router.with(report(Set.of("small"), Set.of("z2")));
        r.list(
                EndpointListKind.SNAPSHOT,
                Router.ready("a"),
                entry("b", "z1", "small", EndpointState.READY, 0),
                entry("c", "z2", "big", EndpointState.READY, 0));
        assertTrue(enginesOf(r.ask(1, "report", null, 100)).isEmpty());
        r.list(EndpointListKind.DELTA, entry("d", "z2", "small", EndpointState.READY, 0));
        assertEquals("d", r.sends().get(0).engine());
    }

    @Test
    void furtherAttemptsStayWithinTheBudget() {
        PolicyLimits budget = new PolicyLimits(0, 0, 0, 0, 0, 0, 1, 0.1, 60_000 * MS);
        Router r =
                new Router(Router.settings(1, ALLOWED, budget, look("look")))
                        .engines("a", "b", "c");
        for (int i = 0; i < 20; i++) {
            r.ask(i, "look", null, 10);
            r.end(i, 0, r.sends().get(r.sends().size() - 1).engine(), Outcome.ERROR, 1);
        }
        long further =
                r.sends().size() - r.sends().stream().map(StartAttempt::id).distinct().count();
        assertTrue(further > 0 && further <= 1 + 0.1 * 20, further + " further attempts");
    }

    @Test
    void attemptsStayWithinTheirNumber() {
        Capabilities two =
                new Capabilities(true, true, 2, 0, false, false, 1, true, 0, false, false, false);
        Router r = new Router(Router.settings(1, two, LIMITS, look("look"))).engines("a", "b");
        r.ask(1, "look", null, 10);
        r.end(1, 0, r.sends().get(0).engine(), Outcome.ERROR, 1);
        assertEquals(
                1,
                only(Reject.class, r.end(1, 1, r.sends().get(1).engine(), Outcome.ERROR, 1))
                        .size());
        r.pass(2_000);
        assertEquals(2, r.sends().size());
    }

    @Test
    void aRefusedListKeepsTheOldOneAndAsksAgain() {
        Router r = Router.with(look("look")).engines("a");
        assertEquals(
                1,
                only(
                                WatchEndpoints.class,
                                r.on(new EndpointsChanged(EndpointListKind.UNAVAILABLE, List.of())))
                        .size());
        assertEquals(List.of("a"), enginesOf(r.ask(1, "look", null, 10)));
    }

    @Test
    void anEmptyListAndUnknownEnginesAreHarmless() {
        Router r = Router.with(look("look")).engines();
        r.end(77, 0, "nowhere", Outcome.SERVED, 5);
        r.on(new HealthCheckCompleted("nowhere", Outcome.TIMED_OUT, 5, LoadReport.NONE));
        r.on(new AttemptProgress(77, 0, "nowhere", ProgressKind.FRACTION_DONE, 0.5));
        assertTrue(enginesOf(r.ask(1, "look", null, Long.MAX_VALUE / MS / 4)).isEmpty());
        assertEquals(1, only(Reject.class, r.pass(20_000)).size());
    }

    @Test
    void aFurtherAttemptOfTheFirstOfALineNeedNotRest() {
        Router r =
                Router.with(load(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        r.ask(1, "load", "k", 100);
        r.ask(2, "load", "k", 100);
        r.end(1, 0, r.sends().get(0).engine(), Outcome.RESET, 10);
        assertEquals(
                List.of(1L, 1L),
                r.sends().stream().map(StartAttempt::id).toList()); // the rest is for later ones
        r.end(1, 1, r.sends().get(1).engine(), Outcome.SERVED, 10);
        assertEquals(2, r.sends().size());
        r.pass(360);
        assertEquals(List.of(1L, 1L, 2L), r.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void anEngineIsColdUntilItsTimeIsOverAndNotAfter() {
        for (int warm = 0; warm < 2; warm++) {
            Router r = new Router(Router.settings(50, ALLOWED, LIMITS, report(Set.of(), Set.of())));
            long started = r.now - LIMITS.slowStartNs() + (1 - warm) * 200 * MS;
            r.list(
                    EndpointListKind.SNAPSHOT,
                    entry("a", "z1", "big", EndpointState.READY, started));
            assertEquals(warm, enginesOf(r.ask(1, "report", null, 1_000)).size());
            r.pass(300);
            assertEquals(1, r.sends().size());
        }
    }
}
