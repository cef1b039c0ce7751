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

/** Tests a large fleet whose engines report their queries in flight and few other values. */
class FleetOverloadTest {

    private static final int ROUTERS = 200;

    /** Capabilities with cancellation and reported cost, but without progress messages. */
    private static final Capabilities WITHOUT_PROGRESS =
            new Capabilities(true, true, 4, 500 * MS, true, true, 0.4, false, 0, true, true, false);

    private static final PolicyLimits RETRY_BUDGET =
            new PolicyLimits(0, 0, 0, 0, 0, 0, 0, 0.1, 10_000 * MS);

    private static LoadReport inFlightReport(double queries) {
        return new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, queries);
    }

    private static RouterHarness router(int position, PolicyLimits limits, double queriesInFlight) {
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
        reportInFlight(router, queriesInFlight);
        return router;
    }

    private static void reportInFlight(RouterHarness router, double queriesInFlight) {
        for (String engine : List.of("a", "b")) {
            router.loadReports.put(engine, inFlightReport(queriesInFlight));
            router.deliver(
                    new HealthCheckCompleted(
                            engine, Outcome.SERVED, MS, inFlightReport(queriesInFlight)));
        }
        // The estimates use the reports after the next maintenance interval of 50 ms.
        router.advanceMs(60);
    }

    private static int reportsStartedInASecond(double queriesInFlight) {
        int started = 0;
        for (int position = 0; position < ROUTERS; position++) {
            RouterHarness router = router(position, LIMITS, queriesInFlight);
            router.submit(1, "report", null, 2_000);
            router.advanceMs(1_000);
            started += router.startedAttempts().size();
        }
        return started;
    }

    @Test
    void notEveryRouterStartsAQueryInAnOverloadedFleet() {
        assertEquals(ROUTERS, reportsStartedInASecond(1));
        int overloaded = reportsStartedInASecond(40);
        assertTrue(overloaded > 0 && overloaded < ROUTERS / 2, overloaded + " started");
        assertTrue(reportsStartedInASecond(160) < overloaded, "a higher load lowers the limits");
    }

    @Test
    void shortQueriesHaveReservedCapacityNextToALongQuery() {
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
                "reserved capacity is this router's part only, less than all of its lookups");
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
        for (int second = 0; second < 5; second++) {
            assertTrue(
                    ofType(CancelAttempt.class, router.advanceMs(1_000)).isEmpty(),
                    "no restart while the query can meet its objective");
            // A response shows that the engine is responsive.
            router.endAttempt(77, 0, engine, Outcome.SERVED, 5);
        }
        assertEquals(
                List.of(new CancelAttempt(1, 0)),
                ofType(CancelAttempt.class, router.advanceMs(1_500)));
    }

    @Test
    void busyDisksAndManyQueriesInFlightIndicateOverload() {
        for (LoadReport busy :
                List.of(
                        new LoadReport(Double.NaN, Double.NaN, Double.NaN, 0.99, 1),
                        inFlightReport(12),
                        inFlightReport(1))) {
            RouterHarness router = router(0, LIMITS, 1);
            for (String engine : List.of("a", "b")) {
                router.loadReports.put(engine, busy);
                router.deliver(new HealthCheckCompleted(engine, Outcome.SERVED, MS, busy));
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
    void retryBeyondTheBudgetDoesNotBlockOtherQueries() {
        RouterHarness router = router(0, RETRY_BUDGET, 1);
        router.submit(1, "report", null, 1_000);
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.ERROR, 10);
        assertEquals(1, router.startedAttempts().size(), "the budget is a tenth of a retry");
        router.submit(2, "report", null, 1_500);
        assertEquals(
                List.of(1L, 2L), router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void submittedQueriesAllowRetriesWithinTheWindowOnly() {
        for (int expired = 0; expired < 2; expired++) {
            RouterHarness router = router(0, RETRY_BUDGET, 1);
            for (int i = 0; i < 10; i++) {
                router.submit(i, "lookup", null, 10);
                router.endAttempt(
                        i, 0, router.startedAttempts().get(i).engine(), Outcome.SERVED, 10);
            }
            router.advanceMs(9_900 + 200L * expired);
            router.submit(99, "lookup", null, 10);
            int before = router.startedAttempts().size();
            router.endAttempt(
                    99, 0, router.startedAttempts().get(before - 1).engine(), Outcome.ERROR, 10);
            assertEquals(before + 1 - expired, router.startedAttempts().size());
        }
    }

    private static Settings tenantSettings() {
        return new Settings(
                7,
                1,
                0,
                "z1",
                List.of(reportClass(Set.of(), Set.of())),
                List.of(new EngineKind("big", 8, 8_000)),
                WITHOUT_PROGRESS,
                LIMITS,
                List.of(new Tenant("busy", 2), new Tenant("other", 2)),
                0.2);
    }

    private static void submitReport(RouterHarness router, long id, String tenant) {
        long deadlineNs = router.nowNs + 20_000 * MS;
        router.deliver(
                new QuerySubmitted(id, "report", null, 1, deadlineNs, 1_000 * MS, 100, tenant));
    }

    @Test
    void queriesBeyondTheTenantQuotaStartLater() {
        RouterHarness router = new RouterHarness(tenantSettings()).withEngines();
        for (int i = 0; i < 60; i++) {
            submitReport(router, i, "busy");
        }
        submitReport(router, 99, "other");
        submitReport(router, 100, "unlisted");
        router.withEngines("a");
        List<Long> started = router.startedAttempts().stream().map(StartAttempt::id).toList();
        // The first queries are within the quota.
        assertEquals(List.of(0L, 1L), started.subList(0, 2));
        assertTrue(started.contains(99L) && started.contains(100L), "started: " + started);
        assertTrue(started.size() < 62, "not all queries find capacity");
    }

    @Test
    void workIsLearnedFromResultsWithoutEstimates() {
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
        // After a restart of the engine, its budget would cover few queries with the prior value of
        // 500 ms, but covers many with the mean of 10 ms.
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
    void variableResponseTimesDoNotIndicateOverload() {
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
                "no limit applies while no engine is overloaded");
        assertFalse(enginesOf(router.actions).isEmpty());
    }
}
