package ashlink.decisions;

import static ashlink.decisions.RouterHarness.CAPABILITIES;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.endpoint;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.loadClass;
import static ashlink.decisions.RouterHarness.ofType;
import static ashlink.decisions.RouterHarness.reportClass;
import static ashlink.decisions.RouterHarness.shortClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.RetrySafety;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests each of the seven invariants of the workload manager. */
class WorkloadManagerInvariantsTest {

    /** Returns a router with one at-most-once class that keeps the order of each key. */
    private static RouterHarness orderedLoads(String... engines) {
        return atMostOnceLoads(true, engines);
    }

    private static RouterHarness unorderedLoads(String... engines) {
        return atMostOnceLoads(false, engines);
    }

    private static RouterHarness atMostOnceLoads(boolean ordered, String... engines) {
        return RouterHarness.withClasses(
                        loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, ordered))
                .withEngines(engines);
    }

    @Test
    void queuedQueryIsRejectedOnceBeforeItsDeadline() {
        RouterHarness router =
                RouterHarness.withClasses(reportClass(Set.of(), Set.of())).withEngines();
        router.submit(1, "report", null, 1, 100, 900);
        List<Reject> rejected = ofType(Reject.class, router.advanceMs(900));
        assertEquals(1, rejected.size());
        assertTrue(rejected.get(0).retryAfterNs() > 0);
        assertTrue(ofType(Reject.class, router.advanceMs(5_000)).isEmpty());
    }

    @Test
    void queryWithTooLittleTimeIsRejectedImmediately() {
        RouterHarness router = RouterHarness.withClasses(shortClass("lookup")).withEngines();
        assertEquals(1, ofType(Reject.class, router.submit(1, "lookup", null, 1, 100, 20)).size());
    }

    @Test
    void queryOfAnUnknownClassIsRejected() {
        RouterHarness router = RouterHarness.withClasses(shortClass("lookup")).withEngines("a");
        assertEquals(
                List.of(new Reject(1, 0)),
                ofType(Reject.class, router.submit(1, "other", null, 10)));
    }

    @Test
    void atMostOnceQueryThatMayHaveRunFailsWithoutRetry() {
        for (Outcome outcome :
                List.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED)) {
            RouterHarness router = unorderedLoads("a", "b");
            String engine = enginesOf(router.submit(1, "load", null, 100)).get(0);
            assertEquals(
                    List.of(new Fail(1)),
                    ofType(Fail.class, router.endAttempt(1, 0, engine, outcome, 100)),
                    outcome.name());
            assertTrue(ofType(StartAttempt.class, router.advanceMs(3_000)).isEmpty());
        }
    }

    @Test
    void atMostOnceQueryThatNeverRanIsRetried() {
        RouterHarness router = unorderedLoads("a", "b");
        String engine = enginesOf(router.submit(1, "load", null, 100)).get(0);
        router.endAttempt(1, 0, engine, Outcome.CONNECT_FAILED, 1);
        router.advanceMs(1_000);
        assertEquals(2, router.startedAttempts().size());
        assertTrue(!router.startedAttempts().get(1).engine().equals(engine));
    }

    @Test
    void deduplicatedQueryIsRetriedInItsScopeAndWindowOnly() {
        RouterHarness router =
                RouterHarness.withClasses(
                        loadClass(RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE, false));
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                RouterHarness.readyEndpoint("a"),
                endpoint("far", "z2", "big", EndpointState.DRAINING, 0));
        router.submit(1, "load", null, 100);
        router.changeEndpoints(
                EndpointListKind.DELTA,
                endpoint("a", "z1", "big", EndpointState.DRAINING, 0),
                endpoint("far", "z2", "big", EndpointState.READY, 0),
                endpoint("near", "z1", "big", EndpointState.DRAINING, 0));
        router.endAttempt(1, 0, "a", Outcome.ERROR, 10);
        router.advanceMs(500);
        assertEquals(1, router.startedAttempts().size());
        router.changeEndpoints(EndpointListKind.DELTA, RouterHarness.readyEndpoint("near"));
        assertEquals("near", router.startedAttempts().get(1).engine());
        router.endAttempt(1, 1, "near", Outcome.ERROR, 10);
        assertEquals(3, router.startedAttempts().size());
        router.advanceMs(2_000);
        router.endAttempt(1, 2, "near", Outcome.ERROR, 10);
        router.advanceMs(1_000);
        assertEquals(3, router.startedAttempts().size());
    }

    @Test
    void queryHasOneAttemptInFlight() {
        RouterHarness router =
                RouterHarness.withClasses(reportClass(Set.of(), Set.of())).withEngines("a", "b");
        router.submit(1, "report", null, 100);
        router.advanceMs(10_000);
        assertEquals(1, router.startedAttempts().size());
    }

    @Test
    void drainingRemovedAndUnlistedEnginesGetNoQueries() {
        RouterHarness router =
                RouterHarness.withClasses(shortClass("lookup")).withEngines("a", "b", "c", "d");
        router.changeEndpoints(
                EndpointListKind.DELTA,
                endpoint("a", "z1", "big", EndpointState.DRAINING, 0),
                endpoint("b", "z1", "big", EndpointState.REMOVED, 0));
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                endpoint("a", "z1", "big", EndpointState.DRAINING, 0),
                RouterHarness.readyEndpoint("c"));
        for (int i = 0; i < 30; i++) {
            assertEquals(List.of("c"), enginesOf(router.submit(i, "lookup", null, 10)));
            router.endAttempt(i, 0, "c", Outcome.SERVED, 10);
        }
    }

    @Test
    void warmingEngineGetsAtMostThisRoutersPartOfItsLimit() {
        RouterHarness router =
                new RouterHarness(
                        RouterHarness.settings(2, CAPABILITIES, LIMITS, shortClass("lookup")));
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                endpoint("warming", "z1", "big", EndpointState.READY, router.nowNs - MS));
        for (int i = 0; i < 200; i++) {
            router.submit(i, "lookup", null, 1, 100, 1_000);
            if (!router.startedAttempts().isEmpty()) {
                router.endAttempt(
                        router.startedAttempts().get(router.startedAttempts().size() - 1).id(),
                        0,
                        "warming",
                        Outcome.SERVED,
                        100);
            }
        }
        double limitMs = 3 * 0.3 * 4 * 0.85 * 2_000 / 2;
        assertTrue(!router.startedAttempts().isEmpty());
        assertTrue(
                router.startedAttempts().size() * 100 <= limitMs,
                router.startedAttempts().size() + " started");
        router.advanceMs(10_000);
        router.serveOldest(100, 100);
        int before = router.startedAttempts().size();
        for (int i = 300; i < 310; i++) {
            router.submit(i, "lookup", null, 100);
            router.endAttempt(i, 0, "warming", Outcome.SERVED, 100);
        }
        assertEquals(before + 10, router.startedAttempts().size());
    }

    @Test
    void queriesOfAKeyRunOneAtATimeInOrderOfSubmission() {
        RouterHarness router = orderedLoads("a", "b", "c");
        router.submit(1, "load", "k", 100);
        router.submit(2, "load", "k", 100);
        router.submit(3, "load", "other", 100);
        assertEquals(
                List.of(1L, 3L), router.startedAttempts().stream().map(StartAttempt::id).toList());
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.SERVED, 10);
        assertEquals(
                List.of(1L, 3L, 2L),
                router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void keyIsPausedAfterAnAttemptThatMayStillRun() {
        RouterHarness router = orderedLoads("a", "b", "c");
        router.submit(1, "load", "k", 100);
        router.submit(2, "load", "k", 100);
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.TIMED_OUT, 10);
        router.advanceMs(299);
        assertEquals(1, router.startedAttempts().size());
        router.advanceMs(60);
        assertEquals(2, router.startedAttempts().size());
    }

    @Test
    void keyWaitsForTheAttemptOfADisconnectedClient() {
        RouterHarness router = orderedLoads("a", "b", "c");
        router.submit(1, "load", "k", 100);
        router.submit(2, "load", "k", 100);
        router.deliver(new ClientDisconnected(1));
        router.advanceMs(500);
        assertEquals(1, router.startedAttempts().size());
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.SERVED, 10);
        assertEquals(2, router.startedAttempts().size());
    }

    @Test
    void restrictedClassQueuesUntilAnAllowedEngineIsListed() {
        RouterHarness router =
                RouterHarness.withClasses(reportClass(Set.of("small"), Set.of("z2")));
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                RouterHarness.readyEndpoint("a"),
                endpoint("b", "z1", "small", EndpointState.READY, 0),
                endpoint("c", "z2", "big", EndpointState.READY, 0));
        assertTrue(enginesOf(router.submit(1, "report", null, 100)).isEmpty());
        router.changeEndpoints(
                EndpointListKind.DELTA, endpoint("d", "z2", "small", EndpointState.READY, 0));
        assertEquals("d", router.startedAttempts().get(0).engine());
    }

    @Test
    void retriesStayWithinTheBudget() {
        PolicyLimits budget = new PolicyLimits(0, 0, 0, 0, 0, 0, 1, 0.1, 60_000 * MS);
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        1, CAPABILITIES, budget, shortClass("lookup")))
                        .withEngines("a", "b", "c");
        for (int i = 0; i < 20; i++) {
            router.submit(i, "lookup", null, 10);
            router.endAttempt(
                    i,
                    0,
                    router.startedAttempts().get(router.startedAttempts().size() - 1).engine(),
                    Outcome.ERROR,
                    1);
        }
        long retries =
                router.startedAttempts().size()
                        - router.startedAttempts().stream()
                                .map(StartAttempt::id)
                                .distinct()
                                .count();
        assertTrue(retries > 0 && retries <= 1 + 0.1 * 20, retries + " retries");
    }

    @Test
    void attemptsStayWithinTheMaximumPerQuery() {
        Capabilities twoAttempts =
                new Capabilities(true, true, 2, 0, false, false, 1, true, 0, false, false, false);
        RouterHarness router =
                new RouterHarness(
                                RouterHarness.settings(
                                        1, twoAttempts, LIMITS, shortClass("lookup")))
                        .withEngines("a", "b");
        router.submit(1, "lookup", null, 10);
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.ERROR, 1);
        assertEquals(
                1,
                ofType(
                                Reject.class,
                                router.endAttempt(
                                        1,
                                        1,
                                        router.startedAttempts().get(1).engine(),
                                        Outcome.ERROR,
                                        1))
                        .size());
        router.advanceMs(2_000);
        assertEquals(2, router.startedAttempts().size());
    }

    @Test
    void unavailableListKeepsTheKnownEndpointsAndIsRequestedAgain() {
        RouterHarness router = RouterHarness.withClasses(shortClass("lookup")).withEngines("a");
        assertEquals(
                1,
                ofType(
                                WatchEndpoints.class,
                                router.deliver(
                                        new EndpointsChanged(
                                                EndpointListKind.UNAVAILABLE, List.of())))
                        .size());
        assertEquals(List.of("a"), enginesOf(router.submit(1, "lookup", null, 10)));
    }

    @Test
    void emptyListAndUnknownEnginesAreIgnored() {
        RouterHarness router = RouterHarness.withClasses(shortClass("lookup")).withEngines();
        router.endAttempt(77, 0, "nowhere", Outcome.SERVED, 5);
        router.deliver(new HealthCheckCompleted("nowhere", Outcome.TIMED_OUT, 5, LoadReport.NONE));
        router.deliver(new AttemptProgress(77, 0, "nowhere", ProgressKind.FRACTION_DONE, 0.5));
        assertTrue(enginesOf(router.submit(1, "lookup", null, Long.MAX_VALUE / MS / 4)).isEmpty());
        assertEquals(1, ofType(Reject.class, router.advanceMs(20_000)).size());
    }

    @Test
    void retryOfAnOrderedQueryDoesNotWaitForTheQuietPeriod() {
        RouterHarness router =
                RouterHarness.withClasses(
                                loadClass(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, true))
                        .withEngines("a", "b", "c");
        router.submit(1, "load", "k", 100);
        router.submit(2, "load", "k", 100);
        router.endAttempt(1, 0, router.startedAttempts().get(0).engine(), Outcome.RESET, 10);
        // The quiet period applies to later queries of the key only.
        assertEquals(
                List.of(1L, 1L), router.startedAttempts().stream().map(StartAttempt::id).toList());
        router.endAttempt(1, 1, router.startedAttempts().get(1).engine(), Outcome.SERVED, 10);
        assertEquals(2, router.startedAttempts().size());
        router.advanceMs(360);
        assertEquals(
                List.of(1L, 1L, 2L),
                router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void slowStartEndsAfterItsDuration() {
        for (int warm = 0; warm < 2; warm++) {
            RouterHarness router =
                    new RouterHarness(
                            RouterHarness.settings(
                                    50, CAPABILITIES, LIMITS, reportClass(Set.of(), Set.of())));
            long started = router.nowNs - LIMITS.slowStartNs() + (1 - warm) * 200 * MS;
            router.changeEndpoints(
                    EndpointListKind.SNAPSHOT,
                    endpoint("a", "z1", "big", EndpointState.READY, started));
            assertEquals(warm, enginesOf(router.submit(1, "report", null, 1_000)).size());
            router.advanceMs(300);
            assertEquals(1, router.startedAttempts().size());
        }
    }
}
