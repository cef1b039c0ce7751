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
        Router router = Router.with(report(Set.of(), Set.of())).engines();
        router.ask(1, "report", null, 1, 100, 900);
        List<Reject> refused = only(Reject.class, router.pass(900));
        assertEquals(1, refused.size());
        assertTrue(refused.get(0).retryAfterNs() > 0);
        assertTrue(only(Reject.class, router.pass(5_000)).isEmpty());
    }

    @Test
    void aQueryWhoseTimeIsShortOnArrivalIsAnsweredAtOnce() {
        Router router = Router.with(look("look")).engines();
        assertEquals(1, only(Reject.class, router.ask(1, "look", null, 1, 100, 20)).size());
    }

    @Test
    void aQueryOfAnUnknownClassIsRefused() {
        Router router = Router.with(look("look")).engines("a");
        assertEquals(
                List.of(new Reject(1, 0)), only(Reject.class, router.ask(1, "other", null, 10)));
    }

    @Test
    void anUnsafeQueryThatMayHaveRunIsFailedAndNotSentAgain() {
        for (Outcome outcome :
                List.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED)) {
            Router router =
                    Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                            .engines("a", "b");
            String engine = enginesOf(router.ask(1, "load", null, 100)).get(0);
            assertEquals(
                    List.of(new Fail(1)),
                    only(Fail.class, router.end(1, 0, engine, outcome, 100)),
                    outcome.name());
            assertTrue(only(StartAttempt.class, router.pass(3_000)).isEmpty());
        }
    }

    @Test
    void anUnsafeQueryThatNeverRanIsSentAgain() {
        Router router =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .engines("a", "b");
        String engine = enginesOf(router.ask(1, "load", null, 100)).get(0);
        router.end(1, 0, engine, Outcome.CONNECT_FAILED, 1);
        router.pass(1_000);
        assertEquals(2, router.sends().size());
        assertTrue(!router.sends().get(1).engine().equals(engine));
    }

    @Test
    void aDeduplicatedQueryIsRepeatedOnlyInItsGroupAndWithinItsSpan() {
        Router router = Router.with(load(RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE, false));
        router.list(
                EndpointListKind.SNAPSHOT,
                Router.ready("a"),
                entry("far", "z2", "big", EndpointState.DRAINING, 0));
        router.ask(1, "load", null, 100);
        router.list(
                EndpointListKind.DELTA,
                entry("a", "z1", "big", EndpointState.DRAINING, 0),
                entry("far", "z2", "big", EndpointState.READY, 0),
                entry("near", "z1", "big", EndpointState.DRAINING, 0));
        router.end(1, 0, "a", Outcome.ERROR, 10);
        router.pass(500);
        assertEquals(1, router.sends().size());
        router.list(EndpointListKind.DELTA, Router.ready("near"));
        assertEquals("near", router.sends().get(1).engine());
        router.end(1, 1, "near", Outcome.ERROR, 10);
        assertEquals(3, router.sends().size());
        router.pass(2_000);
        router.end(1, 2, "near", Outcome.ERROR, 10);
        router.pass(1_000);
        assertEquals(3, router.sends().size());
    }

    @Test
    void neverTwoAttemptsOfOneQueryAreOut() {
        Router router = Router.with(report(Set.of(), Set.of())).engines("a", "b");
        router.ask(1, "report", null, 100);
        router.pass(10_000);
        assertEquals(1, router.sends().size());
    }

    @Test
    void nothingGoesToAnEngineThatDrainsIsGoneOrHasLeftAWholeList() {
        Router router = Router.with(look("look")).engines("a", "b", "c", "d");
        router.list(
                EndpointListKind.DELTA,
                entry("a", "z1", "big", EndpointState.DRAINING, 0),
                entry("b", "z1", "big", EndpointState.REMOVED, 0));
        router.list(
                EndpointListKind.SNAPSHOT,
                entry("a", "z1", "big", EndpointState.DRAINING, 0),
                Router.ready("c"));
        for (int i = 0; i < 30; i++) {
            assertEquals(List.of("c"), enginesOf(router.ask(i, "look", null, 10)));
            router.end(i, 0, "c", Outcome.SERVED, 10);
        }
    }

    @Test
    void aColdEngineIsSentLessThanOurShareOfWhatItBears() {
        Router router = new Router(Router.settings(2, ALLOWED, LIMITS, look("look")));
        router.list(
                EndpointListKind.SNAPSHOT,
                entry("cold", "z1", "big", EndpointState.READY, router.now - MS));
        for (int i = 0; i < 200; i++) {
            router.ask(i, "look", null, 1, 100, 1_000);
            if (!router.sends().isEmpty()) {
                router.end(
                        router.sends().get(router.sends().size() - 1).id(),
                        0,
                        "cold",
                        Outcome.SERVED,
                        100);
            }
        }
        double bears = 3 * 0.3 * 4 * 0.85 * 2_000 / 2;
        assertTrue(!router.sends().isEmpty());
        assertTrue(router.sends().size() * 100 <= bears, router.sends().size() + " sent");
        router.pass(10_000);
        router.serve(100, 100);
        int before = router.sends().size();
        for (int i = 300; i < 310; i++) {
            router.ask(i, "look", null, 100);
            router.end(i, 0, "cold", Outcome.SERVED, 100);
        }
        assertEquals(before + 10, router.sends().size());
    }

    @Test
    void queriesOfAKeyRunOneAtATimeInOrder() {
        Router router =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        router.ask(1, "load", "k", 100);
        router.ask(2, "load", "k", 100);
        router.ask(3, "load", "other", 100);
        assertEquals(List.of(1L, 3L), router.sends().stream().map(StartAttempt::id).toList());
        router.end(1, 0, router.sends().get(0).engine(), Outcome.SERVED, 10);
        assertEquals(List.of(1L, 3L, 2L), router.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void aKeyRestsAfterAnAttemptThatMayStillRun() {
        Router router =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        router.ask(1, "load", "k", 100);
        router.ask(2, "load", "k", 100);
        router.end(1, 0, router.sends().get(0).engine(), Outcome.TIMED_OUT, 10);
        router.pass(299);
        assertEquals(1, router.sends().size());
        router.pass(60);
        assertEquals(2, router.sends().size());
    }

    @Test
    void aKeyWaitsForAnAttemptWhoseClientIsGone() {
        Router router =
                Router.with(load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        router.ask(1, "load", "k", 100);
        router.ask(2, "load", "k", 100);
        router.on(new ClientDisconnected(1));
        router.pass(500);
        assertEquals(1, router.sends().size());
        router.end(1, 0, router.sends().get(0).engine(), Outcome.SERVED, 10);
        assertEquals(2, router.sends().size());
    }

    @Test
    void aBoundClassIsHeldRatherThanSentElsewhere() {
        Router router = Router.with(report(Set.of("small"), Set.of("z2")));
        router.list(
                EndpointListKind.SNAPSHOT,
                Router.ready("a"),
                entry("b", "z1", "small", EndpointState.READY, 0),
                entry("c", "z2", "big", EndpointState.READY, 0));
        assertTrue(enginesOf(router.ask(1, "report", null, 100)).isEmpty());
        router.list(EndpointListKind.DELTA, entry("d", "z2", "small", EndpointState.READY, 0));
        assertEquals("d", router.sends().get(0).engine());
    }

    @Test
    void furtherAttemptsStayWithinTheBudget() {
        PolicyLimits budget = new PolicyLimits(0, 0, 0, 0, 0, 0, 1, 0.1, 60_000 * MS);
        Router router =
                new Router(Router.settings(1, ALLOWED, budget, look("look")))
                        .engines("a", "b", "c");
        for (int i = 0; i < 20; i++) {
            router.ask(i, "look", null, 10);
            router.end(
                    i, 0, router.sends().get(router.sends().size() - 1).engine(), Outcome.ERROR, 1);
        }
        long further =
                router.sends().size()
                        - router.sends().stream().map(StartAttempt::id).distinct().count();
        assertTrue(further > 0 && further <= 1 + 0.1 * 20, further + " further attempts");
    }

    @Test
    void attemptsStayWithinTheirNumber() {
        Capabilities two =
                new Capabilities(true, true, 2, 0, false, false, 1, true, 0, false, false, false);
        Router router = new Router(Router.settings(1, two, LIMITS, look("look"))).engines("a", "b");
        router.ask(1, "look", null, 10);
        router.end(1, 0, router.sends().get(0).engine(), Outcome.ERROR, 1);
        assertEquals(
                1,
                only(
                                Reject.class,
                                router.end(1, 1, router.sends().get(1).engine(), Outcome.ERROR, 1))
                        .size());
        router.pass(2_000);
        assertEquals(2, router.sends().size());
    }

    @Test
    void aRefusedListKeepsTheOldOneAndAsksAgain() {
        Router router = Router.with(look("look")).engines("a");
        assertEquals(
                1,
                only(
                                WatchEndpoints.class,
                                router.on(
                                        new EndpointsChanged(
                                                EndpointListKind.UNAVAILABLE, List.of())))
                        .size());
        assertEquals(List.of("a"), enginesOf(router.ask(1, "look", null, 10)));
    }

    @Test
    void anEmptyListAndUnknownEnginesAreHarmless() {
        Router router = Router.with(look("look")).engines();
        router.end(77, 0, "nowhere", Outcome.SERVED, 5);
        router.on(new HealthCheckCompleted("nowhere", Outcome.TIMED_OUT, 5, LoadReport.NONE));
        router.on(new AttemptProgress(77, 0, "nowhere", ProgressKind.FRACTION_DONE, 0.5));
        assertTrue(enginesOf(router.ask(1, "look", null, Long.MAX_VALUE / MS / 4)).isEmpty());
        assertEquals(1, only(Reject.class, router.pass(20_000)).size());
    }

    @Test
    void aFurtherAttemptOfTheFirstOfALineNeedNotRest() {
        Router router =
                Router.with(load(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, true))
                        .engines("a", "b", "c");
        router.ask(1, "load", "k", 100);
        router.ask(2, "load", "k", 100);
        router.end(1, 0, router.sends().get(0).engine(), Outcome.RESET, 10);
        assertEquals(
                List.of(1L, 1L),
                router.sends().stream()
                        .map(StartAttempt::id)
                        .toList()); // the rest is for later ones
        router.end(1, 1, router.sends().get(1).engine(), Outcome.SERVED, 10);
        assertEquals(2, router.sends().size());
        router.pass(360);
        assertEquals(List.of(1L, 1L, 2L), router.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void anEngineIsColdUntilItsTimeIsOverAndNotAfter() {
        for (int warm = 0; warm < 2; warm++) {
            Router router =
                    new Router(Router.settings(50, ALLOWED, LIMITS, report(Set.of(), Set.of())));
            long started = router.now - LIMITS.slowStartNs() + (1 - warm) * 200 * MS;
            router.list(
                    EndpointListKind.SNAPSHOT,
                    entry("a", "z1", "big", EndpointState.READY, started));
            assertEquals(warm, enginesOf(router.ask(1, "report", null, 1_000)).size());
            router.pass(300);
            assertEquals(1, router.sends().size());
        }
    }
}
