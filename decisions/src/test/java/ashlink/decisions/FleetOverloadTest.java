package ashlink.decisions;

import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.endpoint;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.ofType;
import static ashlink.decisions.RouterHarness.reportClass;
import static ashlink.decisions.RouterHarness.shortClass;
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
class FleetOverloadTest {

    private static final int ROUTERS = 200;

    /** Cancels heeded, no notes of progress, cost told in answers. */
    private static final Capabilities WITHOUT_PROGRESS =
            new Capabilities(true, true, 4, 500 * MS, true, true, 0.4, false, 0, true, true, false);

    private static final PolicyLimits RETRY_BUDGET =
            new PolicyLimits(0, 0, 0, 0, 0, 0, 0, 0.1, 10_000 * MS);

    private static LoadReport inFlightReport(double queries) {
        return new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, queries);
    }

    private static RouterHarness router(int position, PolicyLimits limits, double queriesInHand) {
        RouterHarness router =
                new RouterHarness(
                        new Settings(
                                7 + position,
                                ROUTERS,
                                position,
                                "z1",
                                List.of(shortClass("lookup"), reportClass(Set.of(), Set.of())),
                                List.of(new EngineKind("big", 8, 8_000)),
                                WITHOUT_PROGRESS,
                                limits));
        router.withEngines("a", "b");
        reportInFlight(router, queriesInHand);
        return router;
    }

    private static void reportInFlight(RouterHarness router, double queriesInHand) {
        for (String text : List.of("a", "b")) {
            router.loadReports.put(text, inFlightReport(queriesInHand));
            router.deliver(
                    new HealthCheckCompleted(
                            text, Outcome.SERVED, MS, inFlightReport(queriesInHand)));
        }
        router.advanceMs(60); // one round of house-keeping takes it up
    }

    private static int reportsStartedInASecond(double queriesInHand) {
        int sent = 0;
        for (int position = 0; position < ROUTERS; position++) {
            RouterHarness router = router(position, LIMITS, queriesInHand);
            router.submit(1, "report", null, 2_000);
            router.advanceMs(1_000);
            sent += router.startedAttempts().size();
        }
        return sent;
    }

    @Test
    void inAnOverloadedFleetNotEveryRouterStartsAQuery() {
        assertEquals(ROUTERS, reportsStartedInASecond(1));
        int crowded = reportsStartedInASecond(40);
        assertTrue(crowded > 0 && crowded < ROUTERS / 2, crowded + " sent");
        assertTrue(reportsStartedInASecond(160) < crowded, "limits shrink in proportion");
    }

    @Test
    void shortQueriesHaveReservedCapacityBesideALongOne() {
        RouterHarness router = router(0, LIMITS, 1);
        router.submit(1, "report", null, 20_000);
        assertEquals(1, router.startedAttempts().size());
        reportInFlight(router, 60);
        router.submit(2, "lookup", null, 20);
        assertEquals(
                List.of(1L, 2L), router.startedAttempts().stream().map(StartAttempt::id).toList());
        router.submit(3, "lookup", null, 20);
        assertEquals(
                2,
                router.startedAttempts().size(),
                "the lane holds this gateway's part, not all its look-ups");
    }

    @Test
    void overdueQueryWithoutProgressMessagesIsRestarted() {
        RouterHarness router = router(0, LIMITS, 1);
        for (int i = 10; i < 20; i++) {
            router.submit(i, "report", null, 1_000);
            router.endAttempt(
                    i, 0, router.startedAttempts().get(i - 10).engine(), Outcome.SERVED, 500);
        }
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        for (int s = 0; s < 5; s++) {
            assertTrue(
                    ofType(CancelAttempt.class, router.advanceMs(1_000)).isEmpty(),
                    "not while it can be in time");
            router.endAttempt(77, 0, engine, Outcome.SERVED, 5); // the engine is not silent
        }
        assertEquals(
                List.of(new CancelAttempt(1, 0)),
                ofType(CancelAttempt.class, router.advanceMs(1_500)));
    }

    @Test
    void busyDisksAndManyQueriesInFlightAreOverload() {
        for (LoadReport busy :
                List.of(
                        new LoadReport(Double.NaN, Double.NaN, Double.NaN, 0.99, 1),
                        inFlightReport(12),
                        inFlightReport(1))) {
            RouterHarness router = router(0, LIMITS, 1);
            for (String text : List.of("a", "b")) {
                router.loadReports.put(text, busy);
                router.deliver(new HealthCheckCompleted(text, Outcome.SERVED, MS, busy));
            }
            router.advanceMs(60);
            for (int i = 0; i < 6; i++) {
                router.submit(i, "report", null, 2_000);
            }
            assertEquals(
                    busy.equals(inFlightReport(1)) ? 6 : 1,
                    router.startedAttempts().size(),
                    busy.toString());
        }
    }

    @Test
    void queryBeyondTheRetryBudgetDoesNotBlockOthers() {
        RouterHarness router = router(0, RETRY_BUDGET, 1);
        router.submit(1, "report", null, 1_000);
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.ERROR, 10);
        assertEquals(
                1, router.startedAttempts().size(), "one query earns a tenth of a further attempt");
        router.submit(2, "report", null, 1_500);
        assertEquals(
                List.of(1L, 2L), router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void submittedQueriesAllowRetriesWithinTheWindowOnly() {
        for (int late = 0; late < 2; late++) {
            RouterHarness router = router(0, RETRY_BUDGET, 1);
            for (int i = 0; i < 10; i++) {
                router.submit(i, "lookup", null, 10);
                router.endAttempt(
                        i, 0, router.startedAttempts().get(i).engine(), Outcome.SERVED, 10);
            }
            router.advanceMs(9_900 + 200L * late);
            router.submit(99, "lookup", null, 10);
            int before = router.startedAttempts().size();
            router.endAttempt(
                    99, 0, router.startedAttempts().get(before - 1).engine(), Outcome.ERROR, 10);
            assertEquals(before + 1 - late, router.startedAttempts().size());
        }
    }

    @Test
    void queriesBeyondTheTenantQuotaStartLater() {
        RouterHarness router =
                new RouterHarness(
                                new Settings(
                                        7,
                                        1,
                                        0,
                                        "z1",
                                        List.of(reportClass(Set.of(), Set.of())),
                                        List.of(new EngineKind("big", 8, 8_000)),
                                        WITHOUT_PROGRESS,
                                        LIMITS,
                                        List.of(new Tenant("loud", 2), new Tenant("calm", 2)),
                                        0.2))
                        .withEngines();
        for (int i = 0; i < 60; i++) {
            router.deliver(
                    new QuerySubmitted(
                            i,
                            "report",
                            null,
                            1,
                            router.nowNs + 20_000 * MS,
                            1_000 * MS,
                            100,
                            "loud"));
        }
        router.deliver(
                new QuerySubmitted(
                        99,
                        "report",
                        null,
                        1,
                        router.nowNs + 20_000 * MS,
                        1_000 * MS,
                        100,
                        "calm"));
        router.deliver(
                new QuerySubmitted(
                        100,
                        "report",
                        null,
                        1,
                        router.nowNs + 20_000 * MS,
                        1_000 * MS,
                        100,
                        "unlisted"));
        router.withEngines("a");
        List<Long> first = router.startedAttempts().stream().map(StartAttempt::id).toList();
        assertEquals(List.of(0L, 1L), first.subList(0, 2)); // what came first was within the share
        assertTrue(first.contains(99L) && first.contains(100L), "sent: " + first);
        assertTrue(first.size() < 62, "not all find room");
    }

    @Test
    void withoutEstimatesWorkIsLearnedFromResults() {
        RouterHarness router =
                new RouterHarness(
                                new Settings(
                                        7,
                                        4,
                                        0,
                                        "z1",
                                        List.of(
                                                shortClass("lookup"),
                                                reportClass(Set.of(), Set.of())),
                                        List.of(new EngineKind("big", 8, 8_000)),
                                        WITHOUT_PROGRESS,
                                        LIMITS))
                        .withEngines("a");
        long id = 0;
        for (; id < 200; id++) {
            router.deliver(
                    new QuerySubmitted(id, "lookup", null, 1, router.nowNs + 3_000 * MS, 0, 0));
            router.deliver(
                    new AttemptEnded(
                            id, 0, "a", Outcome.SERVED, 20 * MS, true, 10, 40, inFlightReport(1)));
        }
        // The engine starts anew: by the prior of 500 ms it bears little, by the learnt 10 ms many.
        router.changeEndpoints(
                EndpointListKind.DELTA,
                endpoint("a", "z1", "big", EndpointState.READY, router.nowNs));
        int before = router.startedAttempts().size();
        for (int i = 0; i < 8; i++) {
            router.deliver(
                    new QuerySubmitted(++id, "lookup", null, 1, router.nowNs + 3_000 * MS, 0, 0));
        }
        assertEquals(before + 8, router.startedAttempts().size());
    }

    @Test
    void scatteredResponseTimesAreNoOverload() {
        RouterHarness router = router(0, LIMITS, 1);
        for (int i = 0; i < 300; i++) {
            router.submit(i, "lookup", null, 100);
            router.deliver(
                    new AttemptEnded(
                            i,
                            0,
                            router.startedAttempts().get(i).engine(),
                            Outcome.SERVED,
                            (i % 2 == 0 ? 60 : 600) * MS,
                            true,
                            100,
                            40,
                            inFlightReport(1)));
            router.advanceMs(200);
        }
        router.submit(1_000, "report", null, 1_000);
        router.advanceMs(300);
        router.submit(1_001, "report", null, 1_000);
        assertEquals(
                2,
                router.startedAttempts().size() - 300,
                "the bound does not bind while no engine is pressed");
        assertFalse(enginesOf(router.actions).isEmpty());
    }
}
