package ashlink.decisions;

import static ashlink.decisions.ManyRouters.ROUTERS;
import static ashlink.decisions.ManyRouters.engineNames;
import static ashlink.decisions.ManyRouters.router;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.OVERLOADED;
import static ashlink.decisions.RouterHarness.enginesOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Capacity and load where a router sees little of the fleet. */
class ManyRoutersTest {

    @Test
    void duringOverloadEachRouterRunsOneQueryInTheFleet() {
        int threads = 0;
        for (int position = 0; position < ROUTERS; position++) {
            RouterHarness router = router(ROUTERS, position, 4);
            for (String text : engineNames(4)) {
                router.loadReports.put(text, OVERLOADED);
            }
            for (int i = 0; i < 10; i++) {
                router.submit(i, "report", null, 1_000);
            }
            router.advanceMs(400);
            threads += 2 * router.inFlight.size();
            assertFalse(router.inFlight.isEmpty(), "a router that runs nothing starts one query");
        }
        // The initial limits are 48 threads (4 engines x 8 cores x 1.5). The floor is one query per
        // router, not one per engine.
        assertEquals(2 * ROUTERS, threads);
    }

    @Test
    void routerWithLargePartHasOneLimitPerEngine() {
        RouterHarness router = router(1, 0, 2);
        for (String text : engineNames(2)) {
            router.loadReports.put(text, OVERLOADED);
        }
        for (int i = 0; i < 40; i++) {
            router.submit(i, "report", null, 1_000);
        }
        // The credits for health checks accumulate.
        router.advanceMs(2_000);
        // 1.5 threads x 8 cores on each of two engines, two threads per query.
        assertEquals(12, router.inFlight.size());
    }

    @Test
    void fewOverloadedEnginesDoNotLimitTheOthers() {
        RouterHarness router = router(ROUTERS, 0, 10);
        router.loadReports.put("e0", OVERLOADED);
        for (int i = 0; i < 8; i++) {
            router.submit(i, "report", null, 1_000);
            router.advanceMs(100);
        }
        assertEquals(8, router.inFlight.size());
    }

    @Test
    void memoryQueueClosesAnEngineToLongQueriesOnly() {
        RouterHarness router = router(1, 0, 1);
        router.deliver(
                new HealthCheckCompleted(
                        "e0", Outcome.SERVED, MS, new LoadReport(6, 0.5, 0.5, Double.NaN)));
        router.loadReports.put("e0", new LoadReport(6, 0.5, 0.5, Double.NaN));
        router.submit(1, "report", null, 3_000);
        assertTrue(router.startedAttempts().isEmpty());
        router.submit(2, "lookup", null, 50);
        assertEquals(List.of(2L), router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void overdueQueriesAddToTheLoadOfAnEngine() {
        RouterHarness router = router(ROUTERS, 0, 2);
        String slow = enginesOf(router.submit(1, "lookup", null, 50)).get(0);
        router.advanceMs(1_000);
        Set<String> next = new HashSet<>();
        for (int i = 2; i < 12; i++) {
            next.addAll(enginesOf(router.submit(i, "lookup", null, 50)));
            router.endAttempt(
                    i, 0, router.startedAttempts().get(i - 1).engine(), Outcome.SERVED, 50);
        }
        assertFalse(next.contains(slow));
    }

    @Test
    void slownessOfAnEngineDecays() {
        RouterHarness router = router(ROUTERS, 0, 2);
        String slow = enginesOf(router.submit(1, "lookup", null, 50)).get(0);
        router.endAttempt(1, 0, slow, Outcome.SERVED, 2_000);
        router.advanceMs(60_000);
        Set<String> next = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            next.addAll(enginesOf(router.submit(i, "lookup", null, 50)));
            router.endAttempt(
                    i, 0, router.startedAttempts().get(i - 1).engine(), Outcome.SERVED, 50);
        }
        assertTrue(next.contains(slow));
    }
}
