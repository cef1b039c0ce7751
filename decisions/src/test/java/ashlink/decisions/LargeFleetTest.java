package ashlink.decisions;

import static ashlink.decisions.LargeFleet.ROUTERS;
import static ashlink.decisions.LargeFleet.engineNames;
import static ashlink.decisions.LargeFleet.router;
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

/**
 * Tests capacity and load estimates if each router has a small part of the traffic of the fleet.
 */
class LargeFleetTest {

    @Test
    void eachRouterRunsOneQueryDuringOverload() {
        int threads = 0;
        for (int position = 0; position < ROUTERS; position++) {
            RouterHarness router = router(ROUTERS, position, 4);
            for (String engine : engineNames(4)) {
                router.loadReports.put(engine, OVERLOADED);
            }
            for (int i = 0; i < 10; i++) {
                router.submit(i, "report", null, 1_000);
            }
            router.advanceMs(400);
            threads += 2 * router.inFlight.size();
            assertFalse(router.inFlight.isEmpty(), "an idle router starts one query");
        }
        // The sum of the initial limits is 48 threads (4 engines x 8 cores x 1.5). Each router may
        // always run one query, but not one per engine.
        assertEquals(2 * ROUTERS, threads);
    }

    @Test
    void smallFleetHasOneLimitPerEngine() {
        RouterHarness router = router(1, 0, 2);
        for (String engine : engineNames(2)) {
            router.loadReports.put(engine, OVERLOADED);
        }
        for (int i = 0; i < 40; i++) {
            router.submit(i, "report", null, 1_000);
        }
        // Long queries wait until enough credits for health checks have accumulated.
        router.advanceMs(2_000);
        // The limit is 1.5 threads x 8 cores on each of two engines; each query uses two threads.
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
    void memoryQueueExcludesLongQueriesOnly() {
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
        String slowEngine = enginesOf(router.submit(1, "lookup", null, 50)).get(0);
        router.advanceMs(1_000);
        Set<String> selected = new HashSet<>();
        for (int i = 2; i < 12; i++) {
            selected.addAll(enginesOf(router.submit(i, "lookup", null, 50)));
            router.endAttempt(
                    i, 0, router.startedAttempts().get(i - 1).engine(), Outcome.SERVED, 50);
        }
        assertFalse(selected.contains(slowEngine));
    }

    @Test
    void slownessOfAnEngineDecays() {
        RouterHarness router = router(ROUTERS, 0, 2);
        String slowEngine = enginesOf(router.submit(1, "lookup", null, 50)).get(0);
        router.endAttempt(1, 0, slowEngine, Outcome.SERVED, 2_000);
        router.advanceMs(60_000);
        Set<String> selected = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            selected.addAll(enginesOf(router.submit(i, "lookup", null, 50)));
            router.endAttempt(
                    i, 0, router.startedAttempts().get(i - 1).engine(), Outcome.SERVED, 50);
        }
        assertTrue(selected.contains(slowEngine));
    }
}
