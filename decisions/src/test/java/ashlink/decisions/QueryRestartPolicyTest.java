package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which running queries are restarted; their expected duration is 100 ms. */
class QueryRestartPolicyTest {

    private static final QueryClass LOOKUP = RouterHarness.shortClass("lookup");

    private final ActionBuffer actions = new ActionBuffer();
    private final EngineState engine = TestStates.engine("a");
    private final QueryClassStatistics statistics = new QueryClassStatistics(LOOKUP);
    private final QueryState query = runningQuery(statistics);

    private QueryState runningQuery(QueryClassStatistics classStatistics) {
        QueryState started = TestStates.query(1, classStatistics);
        started.grantMb = 110;
        TestStates.start(started, engine, NOW_NS);
        return started;
    }

    private QueryRestartPolicy policy(long progressIntervalNs, boolean cancellation) {
        return new QueryRestartPolicy(
                progressIntervalNs,
                new AttemptCanceller(cancellation, new RetryPolicy(4), actions),
                new MemoryGrantEstimator(RouterHarness.CAPABILITIES),
                new ResponseTimeModel(),
                new ShortQueryClassifier(List.of()));
    }

    private void assertCancelled(boolean cancelled) {
        List<CancelAttempt> expected = cancelled ? List.of(new CancelAttempt(1, 0)) : List.of();
        assertEquals(expected, actions.actions());
    }

    @Test
    void queryWithLittleProgressIsRestarted() {
        policy(1_000 * MS, true).onProgress(query, 0.1, NOW_NS + 100 * MS);
        assertCancelled(true);
    }

    @Test
    void queryWithEnoughProgressIsNotRestarted() {
        policy(1_000 * MS, true).onProgress(query, 0.5, NOW_NS + 100 * MS);
        assertCancelled(false);
    }

    @Test
    void queryIsNotRestartedWithoutTimeForANewAttempt() {
        policy(1_000 * MS, true).onProgress(query, 0.1, query.deadlineNs - 100 * MS);
        assertCancelled(false);
    }

    @Test
    void queryIsNotRestartedWithoutCancellation() {
        policy(1_000 * MS, false).onProgress(query, 0.1, NOW_NS + 100 * MS);
        assertCancelled(false);
    }

    @Test
    void queryIsRestartedAtMostTwice() {
        query.restarts = 2;
        policy(1_000 * MS, true).onProgress(query, 0.1, NOW_NS + 100 * MS);
        assertCancelled(false);
    }

    @Test
    void atMostOnceQueryIsNotRestarted() {
        QueryClass unsafe =
                RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false);
        QueryState load = runningQuery(new QueryClassStatistics(unsafe));
        policy(1_000 * MS, true).onProgress(load, 0.01, NOW_NS + 1_000 * MS);
        assertCancelled(false);
    }

    @Test
    void timeWaitingForResourcesIsExcluded() {
        query.workingSinceNs = NOW_NS + 90 * MS;
        policy(1_000 * MS, true).onProgress(query, 0.1, NOW_NS + 100 * MS);
        assertCancelled(false);
    }

    @Test
    void earlySpillFarBeyondTheGrantRestartsTheQuery() {
        policy(1_000 * MS, true).onSpill(query, 500, NOW_NS + 19 * MS);
        assertCancelled(true);
    }

    @Test
    void lateSpillDoesNotRestartTheQuery() {
        policy(1_000 * MS, true).onSpill(query, 500, NOW_NS + 20 * MS);
        assertCancelled(false);
    }

    @Test
    void overdueQueryIsRestartedWithoutProgressMessages() {
        long overdueNs = query.objectiveEndNs() + 1;
        assertTrue(overdueNs - NOW_NS > 4 * 100 * MS);
        policy(1_000 * MS, true).restartIfOverdue(query, overdueNs);
        assertCancelled(false);
        policy(0, true).restartIfOverdue(query, overdueNs);
        assertCancelled(true);
    }

    @Test
    void queryWithinItsObjectiveIsNotOverdue() {
        policy(0, true).restartIfOverdue(query, query.objectiveEndNs());
        assertCancelled(false);
    }
}
