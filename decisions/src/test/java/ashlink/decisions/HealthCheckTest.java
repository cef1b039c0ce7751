package ashlink.decisions;

import static ashlink.decisions.LargeFleet.ROUTERS;
import static ashlink.decisions.LargeFleet.router;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.ofType;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.LoadReport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests, through the workload manager, the health checks before the selection of an engine. */
class HealthCheckTest {

    @Test
    void staleReportsAreRefreshedBeforeTheLessLoadedEngineIsSelected() {
        RouterHarness router = router(ROUTERS, 0, 2);
        router.loadReports.put("e0", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        router.loadReports.put("e1", new LoadReport(0, 0.2, Double.NaN, Double.NaN));
        List<Action> actions = router.submit(1, "report", null, 1_000);
        assertEquals(2, ofType(CheckHealth.class, actions).size());
        assertEquals(List.of("e1"), enginesOf(actions));
    }

    @Test
    void recentReportsAreNotRefreshed() {
        RouterHarness router = router(ROUTERS, 0, 2);
        router.submit(1, "report", null, 1_000);
        assertTrue(ofType(CheckHealth.class, router.submit(2, "report", null, 1_000)).isEmpty());
    }

    @Test
    void candidateWithoutHealthCheckResultIsNotSelected() {
        RouterHarness router = router(ROUTERS, 0, 2);
        router.enginesWithoutHealthCheckResults.add("e0");
        assertTrue(enginesOf(router.submit(1, "report", null, 1_000)).isEmpty());
        assertEquals(List.of("e1"), enginesOf(router.advanceMs(25)));
    }

    @Test
    void healthChecksDoNotOutnumberTheQueries() {
        RouterHarness router = router(ROUTERS, 0, 40);
        for (int i = 0; i < 200; i++) {
            router.submit(i, "lookup", null, 50);
            router.advanceMs(300);
            router.serveOldest(1, 50);
        }
        int checks = ofType(CheckHealth.class, router.actions).size();
        // At most the 20 initial credits, one per query and one per second.
        assertTrue(checks > 20 && checks <= 20 + 200 + 60, checks + " health checks");
        assertEquals(200, router.startedAttempts().size());
    }
}
