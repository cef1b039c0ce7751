package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.loadClass;
import static ashlink.decisions.RouterHarness.ofType;
import static ashlink.decisions.RouterHarness.reportClass;
import static ashlink.decisions.RouterHarness.shortClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.RetrySafety;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests, through the workload manager, the order of queued queries and the rejection of late
 * queries.
 */
class QueueOrderTest {

    private static final long NO_ESTIMATE = 0;

    @Test
    void queuedQueriesStartInOrderOfPriorityWeight() {
        RouterHarness router =
                RouterHarness.withClasses(
                                shortClass("plain"),
                                reportClass(Set.of(), Set.of()),
                                loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false))
                        .withEngines();
        router.submit(1, "plain", null, 1_000);
        router.submit(2, "load", null, 1_000);
        router.submit(3, "report", null, 1_000);
        router.withEngines("a");
        assertEquals(
                List.of(3L, 2L, 1L),
                router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void queriesOfEqualWeightStartInOrderOfWork() {
        RouterHarness router = RouterHarness.withReportsAndLookups();
        router.submit(1, "report", null, 3_000);
        router.submit(2, "report", null, 1_000);
        router.submit(3, "report", null, 2_000);
        router.withEngines("a");
        assertEquals(
                List.of(2L, 3L, 1L),
                router.startedAttempts().stream().map(StartAttempt::id).toList());
    }

    @Test
    void equalQueriesStartInOrderOfSubmissionWhileEstimatesAreCorrected() {
        RouterHarness router = RouterHarness.withClasses(shortClass("lookup")).withEngines("a");
        for (int i = 0; i < 80; i++) {
            router.submit(i, "lookup", null, NO_ESTIMATE);
            if (i > 30 && i % 2 == 0) {
                router.nowNs += MS;
                // Far below the expected duration, so that each response lowers it.
                router.serveOldest(1, 2);
            }
        }
        assertTrue(router.startedAttempts().size() < 80, "no query was queued");
        for (int i = 0; i < 100; i++) {
            router.nowNs += MS;
            router.serveOldest(1, 2);
        }
        List<Long> order = router.startedAttempts().stream().map(StartAttempt::id).toList();
        assertEquals(80, order.size());
        assertEquals(order.stream().sorted().toList(), order);
    }

    @Test
    void queuedQueriesThatMissTheirObjectiveAreRejectedDuringContention() {
        RouterHarness router = RouterHarness.withReportsAndLookups();
        router.submit(1, "lookup", null, 50);
        router.advanceMs(400);
        router.submit(2, "report", null, 50);
        assertEquals(
                List.of(1L),
                ofType(Reject.class, router.advanceMs(300)).stream().map(Reject::id).toList());
    }
}
