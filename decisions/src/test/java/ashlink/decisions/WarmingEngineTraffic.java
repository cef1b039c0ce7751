package ashlink.decisions;

import static ashlink.decisions.LargeFleet.ROUTERS;
import static ashlink.decisions.LargeFleet.WITHOUT_PRIORITIES;
import static ashlink.decisions.LargeFleet.settings;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.endpoint;

import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Outcome;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs the traffic of several routers, one after the other, and records the attempts on a warming
 * engine.
 */
final class WarmingEngineTraffic {

    private static final String WARMING_ENGINE = "e0";
    private static final long SHORT_MS = 100;
    private static final long LONG_MS = 3_000;

    /** An attempt that started on the warming engine. */
    private record Start(long timeNs, long workMs) {}

    private final List<Start> starts = new ArrayList<>();
    private double submittedMs;
    private int submitted;

    /** Runs a router with three queries per second, one in five of them long. */
    void runSteadyRouter(int position) {
        RouterHarness router = LargeFleet.router(ROUTERS, position, 3);
        router.changeEndpoints(EndpointListKind.DELTA, warmingEndpoint(router.nowNs));
        for (int i = 0; i < 30; i++) {
            submit(router, i);
            for (StartAttempt attempt : List.copyOf(router.inFlight.values())) {
                recordStart(router, attempt);
            }
            router.serveOldest(10, 100);
            router.advanceMs(310);
        }
    }

    /**
     * Runs a router for ten seconds with unsteady traffic: one router in ten has several times the
     * traffic of the others, one in three restarts and loses its state, every second router learns
     * of the new engine with a delay, and one attempt in twenty times out and is retried.
     */
    void runUnsteadyRouter(int routers, int position) {
        RouterHarness router = LargeFleet.router(routers, position, 3);
        long startNs = router.nowNs;
        int queries = position % 10 == 0 ? 120 : 20;
        router.advanceMs(position % 2 == 0 ? 0 : 1_500);
        router.changeEndpoints(EndpointListKind.DELTA, warmingEndpoint(startNs));
        for (int i = 0; router.nowNs < startNs + 10_000 * MS; i++) {
            if (position % 3 == 0 && i == queries / 4) {
                router = restarted(routers, position, router.nowNs, startNs);
            }
            submit(router, i);
            for (StartAttempt attempt : List.copyOf(router.inFlight.values())) {
                recordStart(router, attempt);
                if (i % 20 == 7) {
                    router.endAttempt(attempt.id(), 0, attempt.engine(), Outcome.TIMED_OUT, 50);
                }
            }
            router.serveOldest(20, 100);
            router.advanceMs(10_000 / queries);
        }
    }

    private static RouterHarness restarted(int routers, int position, long nowNs, long startNs) {
        RouterHarness router =
                new RouterHarness(settings(routers, position, WITHOUT_PRIORITIES, LIMITS));
        router.nowNs = nowNs;
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                warmingEndpoint(startNs),
                RouterHarness.readyEndpoint("e1"),
                RouterHarness.readyEndpoint("e2"));
        return router;
    }

    private static Endpoint warmingEndpoint(long startNs) {
        return endpoint(WARMING_ENGINE, "z1", "big", EndpointState.READY, startNs);
    }

    private static boolean isShort(long id) {
        return id % 5 != 0;
    }

    private static long workMs(long id) {
        return isShort(id) ? SHORT_MS : LONG_MS;
    }

    private void submit(RouterHarness router, int id) {
        submittedMs += workMs(id);
        submitted++;
        router.submit(
                id,
                isShort(id) ? "lookup" : "report",
                null,
                1,
                workMs(id),
                isShort(id) ? 2_500 : 20_000);
    }

    private void recordStart(RouterHarness router, StartAttempt attempt) {
        if (attempt.engine().equals(WARMING_ENGINE)) {
            starts.add(new Start(router.nowNs, workMs(attempt.id())));
        }
    }

    int starts() {
        return starts.size();
    }

    boolean hasOnlyShortQueries() {
        return starts.stream().allMatch(start -> start.workMs() == SHORT_MS);
    }

    double meanSubmittedMs() {
        return submittedMs / submitted;
    }

    /**
     * Returns the largest sum of work that started on the engine in any window of the given length.
     */
    double largestWindowMs(long windowNs) {
        double largestMs = 0;
        for (Start first : starts) {
            double sumMs = 0;
            for (Start start : starts) {
                boolean isInWindow =
                        start.timeNs() >= first.timeNs()
                                && start.timeNs() < first.timeNs() + windowNs;
                sumMs += isInWindow ? start.workMs() : 0;
            }
            largestMs = Math.max(largestMs, sumMs);
        }
        return largestMs;
    }
}
