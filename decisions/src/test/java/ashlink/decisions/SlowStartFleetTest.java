package ashlink.decisions;

import static ashlink.decisions.LargeFleet.ROUTERS;
import static ashlink.decisions.LargeFleet.WITHOUT_PRIORITIES;
import static ashlink.decisions.LargeFleet.settings;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.endpoint;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests the work that all routers of a fleet together send to a warming engine. */
class SlowStartFleetTest {

    /** Work in a window that overloads the engine, in milliseconds. */
    private static final double LIMIT_MS = 3 * 0.3 * 8 * 0.85 * 2_000;

    @Test
    void workOfManyRoutersStaysBelowTheLimitOfAWarmingEngine() {
        WarmingEngineTraffic traffic = new WarmingEngineTraffic();
        for (int position = 0; position < ROUTERS; position++) {
            traffic.runSteadyRouter(position);
        }
        double largestMs = traffic.largestWindowMs(2_000 * MS);
        assertTrue(traffic.starts() > 50, traffic.starts() + " attempts started during slow start");
        assertTrue(largestMs < LIMIT_MS, largestMs + " ms, limit " + LIMIT_MS + " ms");
        assertTrue(traffic.hasOnlyShortQueries(), "a long query was admitted during slow start");
    }

    @Test
    void fleetsOfAnySizeStayBelowTheLimitOfAWarmingEngine() {
        for (int routers : new int[] {20, 30, 100}) {
            WarmingEngineTraffic traffic = new WarmingEngineTraffic();
            for (int position = 0; position < routers; position++) {
                traffic.runUnsteadyRouter(routers, position);
            }
            double largest = traffic.largestWindowMs(2_000 * MS) / traffic.meanSubmittedMs();
            double limit = LIMIT_MS / (0.8 * 100 + 0.2 * 3_000);
            assertTrue(
                    traffic.starts() > 10,
                    routers + " routers: " + traffic.starts() + " attempts during slow start");
            assertTrue(
                    largest <= limit + 2 * Math.sqrt(limit) + 2,
                    routers + " routers: " + largest + " queries, limit " + limit);
        }
    }

    @Test
    void warmingEngineGetsNoQueryOfAClassWithoutStatistics() {
        for (int position = 0; position < 40; position++) {
            RouterHarness router =
                    new RouterHarness(settings(ROUTERS, position, WITHOUT_PRIORITIES, LIMITS));
            router.changeEndpoints(
                    EndpointListKind.CACHED,
                    endpoint("warming", "z1", "big", EndpointState.READY, router.nowNs - MS));
            // The estimate is short, but the prior value of the class is not.
            router.submit(1, "report", null, 1, 50, 5_000);
            router.advanceMs(4_000);
            assertTrue(router.startedAttempts().isEmpty());
        }
    }
}
