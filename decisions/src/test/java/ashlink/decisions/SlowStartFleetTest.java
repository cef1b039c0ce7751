package ashlink.decisions;

import static ashlink.decisions.ManyRouters.ROUTERS;
import static ashlink.decisions.ManyRouters.WITHOUT_PRIORITIES;
import static ashlink.decisions.ManyRouters.router;
import static ashlink.decisions.ManyRouters.settings;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.endpoint;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The work that the routers of a fleet together send to an engine that is warming up. */
class SlowStartFleetTest {

    /** Work in milliseconds that all gateways together send a cold engine in its worst window. */
    private static double largestWindowWorkMs(List<long[]> sends, long windowNs) {
        double worst = 0;
        for (long[] first : sends) {
            double sum = 0;
            for (long[] s : sends) {
                sum += s[0] >= first[0] && s[0] < first[0] + windowNs ? s[1] : 0;
            }
            worst = Math.max(worst, sum);
        }
        return worst;
    }

    @Test
    void warmingEngineGetsWorkOfManyRoutersBelowItsLimit() {
        List<long[]> sends = new ArrayList<>();
        for (int position = 0; position < ROUTERS; position++) {
            RouterHarness router = router(ROUTERS, position, 3);
            long start = router.nowNs;
            router.changeEndpoints(
                    EndpointListKind.DELTA,
                    endpoint("e0", "z1", "big", EndpointState.READY, start));
            for (int i = 0; i < 30; i++) { // three queries a second, one in five of them long
                boolean brief = i % 5 != 0;
                router.submit(
                        i,
                        brief ? "lookup" : "report",
                        null,
                        1,
                        brief ? 100 : 3_000,
                        brief ? 2_500 : 20_000);
                for (StartAttempt startAttempt : List.copyOf(router.inFlight.values())) {
                    if (startAttempt.engine().equals("e0")) {
                        sends.add(
                                new long[] {
                                    router.nowNs, startAttempt.id() % 5 != 0 ? 100 : 3_000
                                });
                    }
                }
                router.serveOldest(10, 100);
                router.advanceMs(310);
            }
        }
        double bears = 3 * 0.3 * 8 * 0.85 * 2_000;
        assertTrue(sends.size() > 50, sends.size() + " sent to it while cold");
        assertTrue(
                largestWindowWorkMs(sends, 2_000 * MS) < bears,
                largestWindowWorkMs(sends, 2_000 * MS) + " of " + bears);
        assertTrue(sends.stream().allMatch(s -> s[1] == 100), "a long query got in by chance");
    }

    /**
     * Work that fleets of that size send one cold engine in its worst window, in queries of mean
     * work: one gateway in ten has four times the mean of the traffic, one in three restarts in the
     * middle and has forgotten what it sent, every second hears of the start late, and one attempt
     * in twenty ends unanswered and is made again.
     */
    private static double largestWindowOfWarmingEngine(int gateways, double[] sentWhileCold) {
        List<long[]> sends = new ArrayList<>();
        double work = 0;
        int asked = 0;
        for (int position = 0; position < gateways; position++) {
            RouterHarness router = router(gateways, position, 3);
            long start = router.nowNs;
            int each = position % 10 == 0 ? 120 : 20; // ten seconds of traffic
            long gapMs = 10_000 / each;
            router.advanceMs(position % 2 == 0 ? 0 : 1_500);
            router.changeEndpoints(
                    EndpointListKind.DELTA,
                    endpoint("e0", "z1", "big", EndpointState.READY, start));
            for (int i = 0; router.nowNs < start + 10_000 * MS; i++) {
                if (position % 3 == 0 && i == each / 4) {
                    long now = router.nowNs;
                    router =
                            new RouterHarness(
                                    settings(gateways, position, WITHOUT_PRIORITIES, LIMITS));
                    router.nowNs = now;
                    router.changeEndpoints(
                            EndpointListKind.SNAPSHOT,
                            endpoint("e0", "z1", "big", EndpointState.READY, start),
                            RouterHarness.readyEndpoint("e1"),
                            RouterHarness.readyEndpoint("e2"));
                }
                boolean brief = i % 5 != 0;
                work += brief ? 100 : 3_000;
                asked++;
                router.submit(
                        i,
                        brief ? "lookup" : "report",
                        null,
                        1,
                        brief ? 100 : 3_000,
                        brief ? 2_500 : 20_000);
                for (StartAttempt startAttempt : List.copyOf(router.inFlight.values())) {
                    if (startAttempt.engine().equals("e0")) {
                        sends.add(
                                new long[] {
                                    router.nowNs, startAttempt.id() % 5 != 0 ? 100 : 3_000
                                });
                    }
                    if (i % 20 == 7) {
                        router.endAttempt(
                                startAttempt.id(), 0, startAttempt.engine(), Outcome.TIMED_OUT, 50);
                    }
                }
                router.serveOldest(20, 100);
                router.advanceMs(gapMs);
            }
        }
        sentWhileCold[0] = sends.size();
        return largestWindowWorkMs(sends, 2_000 * MS) / (work / asked);
    }

    @Test
    void fleetsOfAnySizeStayBelowTheLimitOfAWarmingEngine() {
        for (int gateways : new int[] {20, 30, 100}) {
            double[] sent = new double[1];
            double worst = largestWindowOfWarmingEngine(gateways, sent);
            double bears = 3 * 0.3 * 8 * 0.85 * 2_000 / (0.8 * 100 + 0.2 * 3_000);
            assertTrue(sent[0] > 10, gateways + " gateways sent it " + sent[0] + " while cold");
            assertTrue(
                    worst <= bears + 2 * Math.sqrt(bears) + 2,
                    gateways + " gateways: " + worst + ", it bears " + bears);
        }
    }

    @Test
    void warmingEngineGetsNoQueryOfAClassWithoutStatistics() {
        for (int position = 0; position < 40; position++) {
            RouterHarness router =
                    new RouterHarness(settings(ROUTERS, position, WITHOUT_PRIORITIES, LIMITS));
            router.changeEndpoints(
                    EndpointListKind.CACHED,
                    endpoint("cold", "z1", "big", EndpointState.READY, router.nowNs - MS));
            router.submit(1, "report", null, 1, 50, 5_000); // looks brief, its class is not
            router.advanceMs(4_000);
            assertTrue(router.startedAttempts().isEmpty());
        }
    }
}
