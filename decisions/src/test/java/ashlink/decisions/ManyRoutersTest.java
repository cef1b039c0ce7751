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

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What holds where a gateway sees little: a few queries a second, a fraction of a thread an engine.
 */
class ManyRoutersTest {

    private static final int ROUTERS = 200;
    private static final LoadReport OVERLOADED = new LoadReport(1, 1, 1, 1);
    private static final Capabilities WITHOUT_PRIORITIES =
            new Capabilities(
                    true,
                    true,
                    4,
                    500 * MS,
                    true,
                    false,
                    0.4,
                    true,
                    1_000 * MS,
                    false,
                    false,
                    false);

    private static Settings settings(
            int gateways, int position, Capabilities allowed, PolicyLimits limits) {
        return new Settings(
                7 + position,
                gateways,
                position,
                "z1",
                List.of(shortClass("lookup"), reportClass(Set.of(), Set.of())),
                List.of(new EngineKind("big", 8, 8_000)),
                allowed,
                limits);
    }

    private static String[] engineNames(int engines) {
        String[] names = new String[engines];
        for (int i = 0; i < engines; i++) {
            names[i] = "e" + i;
        }
        return names;
    }

    private static RouterHarness router(int gateways, int position, int engines) {
        return new RouterHarness(settings(gateways, position, WITHOUT_PRIORITIES, LIMITS))
                .withEngines(engineNames(engines));
    }

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
            assertFalse(router.inFlight.isEmpty(), "a gateway that runs nothing gets one query in");
        }
        // Four engines of eight cores at 1.5 threads are 48; the floor is one query a gateway, not
        // one an engine.
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
        router.advanceMs(2_000); // probes are earned
        assertEquals(
                12,
                router.inFlight
                        .size()); // 1.5 threads x 8 cores on each of two engines, two threads each
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
    void staleReportsAreRefreshedBeforeTheLessLoadedIsChosen() {
        RouterHarness router = router(ROUTERS, 0, 2);
        router.loadReports.put("e0", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        router.loadReports.put("e1", new LoadReport(0, 0.2, Double.NaN, Double.NaN));
        List<Action> decided = router.submit(1, "report", null, 1_000);
        assertEquals(2, ofType(CheckHealth.class, decided).size());
        assertEquals(List.of("e1"), enginesOf(decided));
    }

    @Test
    void recentReportsAreNotRefreshed() {
        RouterHarness router = router(ROUTERS, 0, 2);
        router.submit(1, "report", null, 1_000);
        assertTrue(ofType(CheckHealth.class, router.submit(2, "report", null, 1_000)).isEmpty());
    }

    @Test
    void candidateWithoutHealthCheckResultIsNotChosen() {
        RouterHarness router = router(ROUTERS, 0, 2);
        router.unansweredEngines.add("e0");
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
        int probes = ofType(CheckHealth.class, router.actions).size();
        assertTrue(
                probes > 20 && probes <= 20 + 200 + 60,
                probes + " probes"); // saved, by query, by second
        assertEquals(200, router.startedAttempts().size());
    }

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

    @Test
    void earlySpillRestartsTheQueryWithTheMemoryItNeeds() {
        RouterHarness router = router(1, 0, 2);
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        List<Action> decided =
                router.deliver(new AttemptProgress(1, 0, engine, ProgressKind.SPILLED_MB, 900));
        assertEquals(List.of(new CancelAttempt(1, 0)), ofType(CancelAttempt.class, decided));
        long first = ofType(SetAttemptResources.class, router.actions).get(0).memoryMb();
        long second =
                ofType(
                                SetAttemptResources.class,
                                router.endAttempt(1, 0, engine, Outcome.CANCELLED, 10))
                        .get(0)
                        .memoryMb();
        assertTrue(second >= first + 900, second + " MB");
        assertTrue(
                ofType(SetAttemptResources.class, router.submit(2, "report", null, 1_000))
                                .get(0)
                                .memoryMb()
                        >= first + 900);
    }

    @Test
    void smallOrLateSpillDoesNotRestartTheQuery() {
        RouterHarness router = router(1, 0, 2);
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.SPILLED_MB, 10)))
                        .isEmpty());
        router.advanceMs(500);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.SPILLED_MB, 900)))
                        .isEmpty());
    }

    @Test
    void waitingForMemoryIsNoSignOfABadPlan() {
        RouterHarness router = router(1, 0, 2);
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        for (int i = 0; i < 5; i++) {
            router.advanceMs(1_000);
            router.deliver(new AttemptProgress(1, 0, engine, ProgressKind.WAITING, 1));
        }
        router.advanceMs(200);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
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
