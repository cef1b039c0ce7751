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
class ManyGatewaysTest {

    private static final int GATEWAYS = 200;
    private static final LoadReport BUSY = new LoadReport(1, 1, 1, 1);
    private static final Capabilities NO_PRIORITIES =
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
                List.of(look("look"), report(Set.of(), Set.of())),
                List.of(new EngineKind("big", 8, 8_000)),
                allowed,
                limits);
    }

    private static String[] fleet(int engines) {
        String[] names = new String[engines];
        for (int i = 0; i < engines; i++) {
            names[i] = "e" + i;
        }
        return names;
    }

    private static Router router(int gateways, int position, int engines) {
        return new Router(settings(gateways, position, NO_PRIORITIES, LIMITS))
                .engines(fleet(engines));
    }

    @Test
    void underPressureAllGatewaysTogetherStayNearTheDesignsLevel() {
        int threads = 0;
        for (int g = 0; g < GATEWAYS; g++) {
            Router r = router(GATEWAYS, g, 4);
            for (String text : fleet(4)) {
                r.reports.put(text, BUSY);
            }
            for (int i = 0; i < 10; i++) {
                r.ask(i, "report", null, 1_000);
            }
            r.pass(400);
            threads += 2 * r.outstanding.size();
            assertFalse(r.outstanding.isEmpty(), "a gateway that runs nothing gets one query in");
        }
        // Four engines of eight cores at 1.5 threads are 48; the floor is one query a gateway, not
        // one an engine.
        assertEquals(2 * GATEWAYS, threads);
    }

    @Test
    void aGatewayWithALargeShareKeepsOneBoundAnEngine() {
        Router r = router(1, 0, 2);
        for (String text : fleet(2)) {
            r.reports.put(text, BUSY);
        }
        for (int i = 0; i < 40; i++) {
            r.ask(i, "report", null, 1_000);
        }
        r.pass(2_000); // probes are earned
        assertEquals(
                12,
                r.outstanding
                        .size()); // 1.5 threads x 8 cores on each of two engines, two threads each
    }

    @Test
    void aFewEnginesUnderPressureLeaveTheOthersOpen() {
        Router r = router(GATEWAYS, 0, 10);
        r.reports.put("e0", BUSY);
        for (int i = 0; i < 8; i++) {
            r.ask(i, "report", null, 1_000);
            r.pass(100);
        }
        assertEquals(8, r.outstanding.size());
    }

    @Test
    void aBlindChoiceAsksBothCandidatesAndTakesTheLighter() {
        Router r = router(GATEWAYS, 0, 2);
        r.reports.put("e0", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        r.reports.put("e1", new LoadReport(0, 0.2, Double.NaN, Double.NaN));
        List<Action> decided = r.ask(1, "report", null, 1_000);
        assertEquals(2, only(CheckHealth.class, decided).size());
        assertEquals(List.of("e1"), enginesOf(decided));
    }

    @Test
    void freshNewsIsNotAskedForAgain() {
        Router r = router(GATEWAYS, 0, 2);
        r.ask(1, "report", null, 1_000);
        assertTrue(only(CheckHealth.class, r.ask(2, "report", null, 1_000)).isEmpty());
    }

    @Test
    void aCandidateThatDoesNotAnswerInTimeIsPassedOver() {
        Router r = router(GATEWAYS, 0, 2);
        r.mute.add("e0");
        assertTrue(enginesOf(r.ask(1, "report", null, 1_000)).isEmpty());
        assertEquals(List.of("e1"), enginesOf(r.pass(25)));
    }

    @Test
    void probesDoNotOutgrowTheQueries() {
        Router r = router(GATEWAYS, 0, 40);
        for (int i = 0; i < 200; i++) {
            r.ask(i, "look", null, 50);
            r.pass(300);
            r.serve(1, 50);
        }
        int probes = only(CheckHealth.class, r.actions).size();
        assertTrue(
                probes > 20 && probes <= 20 + 200 + 60,
                probes + " probes"); // saved, by query, by second
        assertEquals(200, r.sends().size());
    }

    /** Work in milliseconds that all gateways together send a cold engine in its worst window. */
    private static double worstWindow(List<long[]> sends, long windowNs) {
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
    void aColdEngineGetsWorkFromManyGatewaysButLessThanItBears() {
        List<long[]> sends = new ArrayList<>();
        for (int g = 0; g < GATEWAYS; g++) {
            Router r = router(GATEWAYS, g, 3);
            long start = r.now;
            r.list(EndpointListKind.DELTA, entry("e0", "z1", "big", EndpointState.READY, start));
            for (int i = 0; i < 30; i++) { // three queries a second, one in five of them long
                boolean brief = i % 5 != 0;
                r.ask(
                        i,
                        brief ? "look" : "report",
                        null,
                        1,
                        brief ? 100 : 3_000,
                        brief ? 2_500 : 20_000);
                for (StartAttempt startAttempt : List.copyOf(r.outstanding.values())) {
                    if (startAttempt.engine().equals("e0")) {
                        sends.add(new long[] {r.now, startAttempt.id() % 5 != 0 ? 100 : 3_000});
                    }
                }
                r.serve(10, 100);
                r.pass(310);
            }
        }
        double bears = 3 * 0.3 * 8 * 0.85 * 2_000;
        assertTrue(sends.size() > 50, sends.size() + " sent to it while cold");
        assertTrue(
                worstWindow(sends, 2_000 * MS) < bears,
                worstWindow(sends, 2_000 * MS) + " of " + bears);
        assertTrue(sends.stream().allMatch(s -> s[1] == 100), "a long query got in by chance");
    }

    /**
     * Work that fleets of that size send one cold engine in its worst window, in queries of mean
     * work: one gateway in ten has four times the mean of the traffic, one in three restarts in the
     * middle and has forgotten what it sent, every second hears of the start late, and one attempt
     * in twenty ends unanswered and is made again.
     */
    private static double coldFleet(int gateways, double[] sentWhileCold) {
        List<long[]> sends = new ArrayList<>();
        double work = 0;
        int asked = 0;
        for (int g = 0; g < gateways; g++) {
            Router r = router(gateways, g, 3);
            long start = r.now;
            int each = g % 10 == 0 ? 120 : 20; // ten seconds of traffic
            long gapMs = 10_000 / each;
            r.pass(g % 2 == 0 ? 0 : 1_500);
            r.list(EndpointListKind.DELTA, entry("e0", "z1", "big", EndpointState.READY, start));
            for (int i = 0; r.now < start + 10_000 * MS; i++) {
                if (g % 3 == 0 && i == each / 4) {
                    long now = r.now;
                    r = new Router(settings(gateways, g, NO_PRIORITIES, LIMITS));
                    r.now = now;
                    r.list(
                            EndpointListKind.SNAPSHOT,
                            entry("e0", "z1", "big", EndpointState.READY, start),
                            Router.ready("e1"),
                            Router.ready("e2"));
                }
                boolean brief = i % 5 != 0;
                work += brief ? 100 : 3_000;
                asked++;
                r.ask(
                        i,
                        brief ? "look" : "report",
                        null,
                        1,
                        brief ? 100 : 3_000,
                        brief ? 2_500 : 20_000);
                for (StartAttempt startAttempt : List.copyOf(r.outstanding.values())) {
                    if (startAttempt.engine().equals("e0")) {
                        sends.add(new long[] {r.now, startAttempt.id() % 5 != 0 ? 100 : 3_000});
                    }
                    if (i % 20 == 7) {
                        r.end(startAttempt.id(), 0, startAttempt.engine(), Outcome.TIMED_OUT, 50);
                    }
                }
                r.serve(20, 100);
                r.pass(gapMs);
            }
        }
        sentWhileCold[0] = sends.size();
        return worstWindow(sends, 2_000 * MS) / (work / asked);
    }

    @Test
    void fleetsOfManySizesStayWithinWhatAColdEngineIsCountedToBear() {
        for (int gateways : new int[] {20, 30, 100}) {
            double[] sent = new double[1];
            double worst = coldFleet(gateways, sent);
            double bears = 3 * 0.3 * 8 * 0.85 * 2_000 / (0.8 * 100 + 0.2 * 3_000);
            assertTrue(sent[0] > 10, gateways + " gateways sent it " + sent[0] + " while cold");
            assertTrue(
                    worst <= bears + 2 * Math.sqrt(bears) + 2,
                    gateways + " gateways: " + worst + ", it bears " + bears);
        }
    }

    @Test
    void withoutFactsOfItsClassesAGatewaySendsAColdEngineNothingLong() {
        for (int g = 0; g < 40; g++) {
            Router router = new Router(settings(GATEWAYS, g, NO_PRIORITIES, LIMITS));
            router.list(
                    EndpointListKind.CACHED,
                    entry("cold", "z1", "big", EndpointState.READY, router.now - MS));
            router.ask(1, "report", null, 1, 50, 5_000); // looks brief, its class is not
            router.pass(4_000);
            assertTrue(router.sends().isEmpty());
        }
    }

    @Test
    void aSpillToldAtTheStartRestartsTheQueryWithItsTrueNeed() {
        Router r = router(1, 0, 2);
        String engine = enginesOf(r.ask(1, "report", null, 1_000)).get(0);
        List<Action> decided =
                r.on(new AttemptProgress(1, 0, engine, ProgressKind.SPILLED_MB, 900));
        assertEquals(List.of(new CancelAttempt(1, 0)), only(CancelAttempt.class, decided));
        long first = only(SetAttemptResources.class, r.actions).get(0).memoryMb();
        long second =
                only(SetAttemptResources.class, r.end(1, 0, engine, Outcome.CANCELLED, 10))
                        .get(0)
                        .memoryMb();
        assertTrue(second >= first + 900, second + " MB");
        assertTrue(
                only(SetAttemptResources.class, r.ask(2, "report", null, 1_000)).get(0).memoryMb()
                        >= first + 900);
    }

    @Test
    void aSmallSpillOrALateOneIsLeftAlone() {
        Router r = router(1, 0, 2);
        String engine = enginesOf(r.ask(1, "report", null, 1_000)).get(0);
        assertTrue(
                only(
                                CancelAttempt.class,
                                r.on(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.SPILLED_MB, 10)))
                        .isEmpty());
        r.pass(500);
        assertTrue(
                only(
                                CancelAttempt.class,
                                r.on(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.SPILLED_MB, 900)))
                        .isEmpty());
    }

    @Test
    void waitingForMemoryIsNoBadPlan() {
        Router r = router(1, 0, 2);
        String engine = enginesOf(r.ask(1, "report", null, 1_000)).get(0);
        for (int i = 0; i < 5; i++) {
            r.pass(1_000);
            r.on(new AttemptProgress(1, 0, engine, ProgressKind.WAITING, 1));
        }
        r.pass(200);
        assertTrue(
                only(
                                CancelAttempt.class,
                                r.on(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
    }

    @Test
    void aMemoryLineClosesAnEngineToLongQueriesOnly() {
        Router r = router(1, 0, 1);
        r.on(
                new HealthCheckCompleted(
                        "e0", Outcome.SERVED, MS, new LoadReport(6, 0.5, 0.5, Double.NaN)));
        r.reports.put("e0", new LoadReport(6, 0.5, 0.5, Double.NaN));
        r.ask(1, "report", null, 3_000);
        assertTrue(r.sends().isEmpty());
        r.ask(2, "look", null, 50);
        assertEquals(List.of(2L), r.sends().stream().map(StartAttempt::id).toList());
    }

    @Test
    void whatIsOverdueThereMakesAnEngineHeavyForTheNext() {
        Router r = router(GATEWAYS, 0, 2);
        String slow = enginesOf(r.ask(1, "look", null, 50)).get(0);
        r.pass(1_000);
        Set<String> next = new HashSet<>();
        for (int i = 2; i < 12; i++) {
            next.addAll(enginesOf(r.ask(i, "look", null, 50)));
            r.end(i, 0, r.sends().get(i - 1).engine(), Outcome.SERVED, 50);
        }
        assertFalse(next.contains(slow));
    }

    @Test
    void anEngineIsNotCalledSlowForLongOnceItIsLeftAlone() {
        Router r = router(GATEWAYS, 0, 2);
        String slow = enginesOf(r.ask(1, "look", null, 50)).get(0);
        r.end(1, 0, slow, Outcome.SERVED, 2_000);
        r.pass(60_000);
        Set<String> next = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            next.addAll(enginesOf(r.ask(i, "look", null, 50)));
            r.end(i, 0, r.sends().get(i - 1).engine(), Outcome.SERVED, 50);
        }
        assertTrue(next.contains(slow));
    }
}
