package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.loadClass;
import static ashlink.decisions.RouterHarness.reportClass;
import static ashlink.decisions.RouterHarness.shortClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.RetrySafety;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests, through the workload manager, the selection among the eligible engines. */
class EngineSelectionTest {

    @Test
    void retryUsesAnotherEngineIfThereIsOne() {
        for (Outcome outcome :
                List.of(Outcome.ERROR, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NOT_SENT)) {
            RouterHarness router =
                    RouterHarness.withClasses(shortClass("lookup")).withEngines("a", "b", "c");
            for (int i = 0; i < 20; i++) {
                router.submit(i, "lookup", null, 20);
                String first = router.inFlight.get((long) i).engine();
                router.endAttempt(i, 0, first, outcome, 3);
                router.advanceMs(300);
                assertNotEquals(first, router.inFlight.get((long) i).engine(), outcome.toString());
                router.endAttempt(i, 1, router.inFlight.get((long) i).engine(), Outcome.SERVED, 20);
            }
        }
        RouterHarness singleEngine =
                RouterHarness.withClasses(shortClass("lookup")).withEngines("a");
        singleEngine.submit(1, "lookup", null, 20);
        singleEngine.endAttempt(1, 0, "a", Outcome.ERROR, 3);
        singleEngine.advanceMs(300);
        assertEquals(List.of("a", "a"), enginesOf(singleEngine.actions));
    }

    @Test
    void lessLoadedEngineIsSelected() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a", "b");
        String first = enginesOf(router.submit(1, "report", null, 5_000)).get(0);
        for (int i = 2; i < 6; i++) {
            assertNotEquals(first, enginesOf(router.submit(i, "report", null, 100)).get(0));
        }
    }

    @Test
    void lockingAndWaitingQueriesOfATableGroupUseDifferentEngines() {
        RouterHarness router =
                RouterHarness.withClasses(
                                reportClass(Set.of(), Set.of()),
                                loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .withEngines("a", "b", "c", "d");
        Set<String> lockingEngines = new HashSet<>();
        Set<String> waitingEngines = new HashSet<>();
        for (int i = 0; i < 40; i += 2) {
            lockingEngines.addAll(enginesOf(router.submit(i, "load", null, 10)));
            router.endAttempt(i, 0, router.startedAttempts().get(i).engine(), Outcome.SERVED, 5);
            waitingEngines.addAll(enginesOf(router.submit(i + 1, "report", null, 10)));
            router.endAttempt(
                    i + 1, 0, router.startedAttempts().get(i + 1).engine(), Outcome.SERVED, 5);
        }
        assertEquals(2, lockingEngines.size());
        lockingEngines.retainAll(waitingEngines);
        assertTrue(lockingEngines.isEmpty());
    }

    @Test
    void unrestrictedQueriesAvoidRequiredKindsDuringOverload() {
        RouterHarness router =
                RouterHarness.withClasses(
                        shortClass("lookup"), reportClass(Set.of("big"), Set.of()));
        router.changeEndpoints(
                EndpointListKind.SNAPSHOT,
                RouterHarness.readyEndpoint("a"),
                RouterHarness.endpoint("b", "z1", "small", EndpointState.READY, 0),
                RouterHarness.endpoint("draining", "z1", "small", EndpointState.DRAINING, 0));
        router.loadReports.put("a", new LoadReport(0, 0.5, Double.NaN, Double.NaN));
        router.loadReports.put("b", router.loadReports.get("a"));
        for (String engine : List.of("a", "b")) {
            router.deliver(
                    new HealthCheckCompleted(
                            engine, Outcome.SERVED, MS, router.loadReports.get(engine)));
        }
        // One of three engines is overloaded.
        router.reportOverload("draining");
        router.advanceMs(60);
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), enginesOf(router.submit(i, "lookup", null, 50)));
            router.serveOldest(1, 50);
        }
        router.loadReports.put("b", new LoadReport(0, 0.9, Double.NaN, Double.NaN));
        router.advanceMs(1_000);
        assertEquals(List.of("a"), enginesOf(router.submit(30, "lookup", null, 50)));
    }
}
