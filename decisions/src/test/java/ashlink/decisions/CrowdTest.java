package ashlink.decisions;

import static ashlink.decisions.Router.LIMITS;
import static ashlink.decisions.Router.MS;
import static ashlink.decisions.Router.enginesOf;
import static ashlink.decisions.Router.entry;
import static ashlink.decisions.Router.look;
import static ashlink.decisions.Router.only;
import static ashlink.decisions.Router.report;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Many gateways whose engines tell the queries in hand, and nothing or little else. */
class CrowdTest {

    private static final int GATEWAYS = 200;

    /** Cancels heeded, no notes of progress, cost told in answers. */
    private static final Capabilities NO_NOTES =
            new Capabilities(true, true, 4, 500 * MS, true, true, 0.4, false, 0, true, true, false);

    private static final PolicyLimits RATION =
            new PolicyLimits(0, 0, 0, 0, 0, 0, 0, 0.1, 10_000 * MS);

    private static LoadReport inHand(double queries) {
        return new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, queries);
    }

    private static Router router(int position, PolicyLimits limits, double queriesInHand) {
        Router router =
                new Router(
                        new Settings(
                                7 + position,
                                GATEWAYS,
                                position,
                                "z1",
                                List.of(look("look"), report(Set.of(), Set.of())),
                                List.of(new EngineKind("big", 8, 8_000)),
                                NO_NOTES,
                                limits));
        router.engines("a", "b");
        tell(router, queriesInHand);
        return router;
    }

    private static void tell(Router router, double queriesInHand) {
        for (String text : List.of("a", "b")) {
            router.reports.put(text, inHand(queriesInHand));
            router.on(new HealthCheckCompleted(text, Outcome.SERVED, MS, inHand(queriesInHand)));
        }
        router.pass(60); // one round of house-keeping takes it up
    }

    private static int reportsSentInASecond(double queriesInHand) {
        int sent = 0;
        for (int g = 0; g < GATEWAYS; g++) {
            Router r = router(g, LIMITS, queriesInHand);
            r.ask(1, "report", null, 2_000);
            r.pass(1_000);
            sent += r.sends().size();
        }
        return sent;
    }

    @Test
    void inACrowdNotEveryGatewayLetsOneIn() {
        assertEquals(GATEWAYS, reportsSentInASecond(1));
        int crowded = reportsSentInASecond(40);
        assertTrue(crowded > 0 && crowded < GATEWAYS / 2, crowded + " sent");
        assertTrue(reportsSentInASecond(160) < crowded, "limits shrink in proportion");
    }

    @Test
    void lookUpsKeepTheirLaneBesideALongQuery() {
        Router r = router(0, LIMITS, 1);
        r.ask(1, "report", null, 20_000);
        assertEquals(1, r.sends().size());
        tell(r, 60);
        r.ask(2, "look", null, 20);
        assertEquals(List.of(1L, 2L), r.sends().stream().map(StartAttempt::id).toList());
        r.ask(3, "look", null, 20);
        assertEquals(
                2, r.sends().size(), "the lane holds this gateway's part, not all its look-ups");
    }

    @Test
    void aLongRunnerWithoutNotesIsStartedAgainOnceItIsLate() {
        Router r = router(0, LIMITS, 1);
        for (int i = 10; i < 20; i++) {
            r.ask(i, "report", null, 1_000);
            r.end(i, 0, r.sends().get(i - 10).engine(), Outcome.SERVED, 500);
        }
        String engine = enginesOf(r.ask(1, "report", null, 1_000)).get(0);
        for (int s = 0; s < 5; s++) {
            assertTrue(
                    only(CancelAttempt.class, r.pass(1_000)).isEmpty(),
                    "not while it can be in time");
            r.end(77, 0, engine, Outcome.SERVED, 5); // the engine is not silent
        }
        assertEquals(List.of(new CancelAttempt(1, 0)), only(CancelAttempt.class, r.pass(1_500)));
    }

    @Test
    void busyDisksAndManyQueriesInHandArePressure() {
        for (LoadReport busy :
                List.of(
                        new LoadReport(Double.NaN, Double.NaN, Double.NaN, 0.99, 1),
                        inHand(12),
                        inHand(1))) {
            Router r = router(0, LIMITS, 1);
            for (String text : List.of("a", "b")) {
                r.reports.put(text, busy);
                r.on(new HealthCheckCompleted(text, Outcome.SERVED, MS, busy));
            }
            r.pass(60);
            for (int i = 0; i < 6; i++) {
                r.ask(i, "report", null, 2_000);
            }
            assertEquals(busy.equals(inHand(1)) ? 6 : 1, r.sends().size(), busy.toString());
        }
    }

    @Test
    void aQueryOutOfItsRationKeepsNoOtherBack() {
        Router r = router(0, RATION, 1);
        r.ask(1, "report", null, 1_000);
        r.end(1, 0, r.sends().get(0).engine(), Outcome.ERROR, 10);
        assertEquals(1, r.sends().size(), "one query earns a tenth of a further attempt");
        r.ask(2, "report", null, 1_500);
        assertEquals(List.of(1L, 2L), r.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void whatWasTakenEarnsFurtherAttemptsForTheSpanAndNoLonger() {
        for (int late = 0; late < 2; late++) {
            Router r = router(0, RATION, 1);
            for (int i = 0; i < 10; i++) {
                r.ask(i, "look", null, 10);
                r.end(i, 0, r.sends().get(i).engine(), Outcome.SERVED, 10);
            }
            r.pass(9_900 + 200L * late);
            r.ask(99, "look", null, 10);
            int before = r.sends().size();
            r.end(99, 0, r.sends().get(before - 1).engine(), Outcome.ERROR, 10);
            assertEquals(before + 1 - late, r.sends().size());
        }
    }

    @Test
    void whatATenantSendsBeyondItsShareLeavesLater() {
        Router router =
                new Router(
                                new Settings(
                                        7,
                                        1,
                                        0,
                                        "z1",
                                        List.of(report(Set.of(), Set.of())),
                                        List.of(new EngineKind("big", 8, 8_000)),
                                        NO_NOTES,
                                        LIMITS,
                                        List.of(new Tenant("loud", 2), new Tenant("calm", 2)),
                                        0.2))
                        .engines();
        for (int i = 0; i < 60; i++) {
            router.on(
                    new QuerySubmitted(
                            i,
                            "report",
                            null,
                            1,
                            router.now + 20_000 * MS,
                            1_000 * MS,
                            100,
                            "loud"));
        }
        router.on(
                new QuerySubmitted(
                        99, "report", null, 1, router.now + 20_000 * MS, 1_000 * MS, 100, "calm"));
        router.on(
                new QuerySubmitted(
                        100,
                        "report",
                        null,
                        1,
                        router.now + 20_000 * MS,
                        1_000 * MS,
                        100,
                        "unlisted"));
        router.engines("a");
        List<Long> first = router.sends().stream().map(StartAttempt::id).toList();
        assertEquals(List.of(0L, 1L), first.subList(0, 2)); // what came first was within the share
        assertTrue(first.contains(99L) && first.contains(100L), "sent: " + first);
        assertTrue(first.size() < 62, "not all find room");
    }

    @Test
    void withoutEstimatesTheWorkIsLearntFromAnswers() {
        Router router =
                new Router(
                                new Settings(
                                        7,
                                        4,
                                        0,
                                        "z1",
                                        List.of(look("look"), report(Set.of(), Set.of())),
                                        List.of(new EngineKind("big", 8, 8_000)),
                                        NO_NOTES,
                                        LIMITS))
                        .engines("a");
        long id = 0;
        for (; id < 200; id++) {
            router.on(new QuerySubmitted(id, "look", null, 1, router.now + 3_000 * MS, 0, 0));
            router.on(
                    new AttemptEnded(id, 0, "a", Outcome.SERVED, 20 * MS, true, 10, 40, inHand(1)));
        }
        // The engine starts anew: by the prior of 500 ms it bears little, by the learnt 10 ms many.
        router.list(
                EndpointListKind.DELTA, entry("a", "z1", "big", EndpointState.READY, router.now));
        int before = router.sends().size();
        for (int i = 0; i < 8; i++) {
            router.on(new QuerySubmitted(++id, "look", null, 1, router.now + 3_000 * MS, 0, 0));
        }
        assertEquals(before + 8, router.sends().size());
    }

    @Test
    void widelyScatteredTimesAreNoPressure() {
        Router r = router(0, LIMITS, 1);
        for (int i = 0; i < 300; i++) {
            r.ask(i, "look", null, 100);
            r.on(
                    new AttemptEnded(
                            i,
                            0,
                            r.sends().get(i).engine(),
                            Outcome.SERVED,
                            (i % 2 == 0 ? 60 : 600) * MS,
                            true,
                            100,
                            40,
                            inHand(1)));
            r.pass(200);
        }
        r.ask(1_000, "report", null, 1_000);
        r.pass(300);
        r.ask(1_001, "report", null, 1_000);
        assertEquals(
                2, r.sends().size() - 300, "the bound does not bind while no engine is pressed");
        assertFalse(enginesOf(r.actions).isEmpty());
    }
}
