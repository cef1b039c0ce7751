package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.RetrySafety;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the final answer to a query and its removal. */
class QueryCompletionTest {

    private static final long RETRY_AFTER_NS = 500 * MS;

    private final AdmissionQueue queue = new AdmissionQueue();
    private final ActiveQueries queries = new ActiveQueries();
    private final ActionBuffer actions = new ActionBuffer();
    private final QueryCompletion completion =
            new QueryCompletion(RETRY_AFTER_NS, queue, queries, new KeyOrdering(0), actions);

    private QueryState add(RetrySafety safety, DeduplicationScope scope) {
        QueryState query = TestStates.query(1, RouterHarness.loadClass(safety, scope, false));
        queries.add(query);
        queue.add(query);
        return query;
    }

    private Action answerIfItMayHaveRun(RetrySafety safety, DeduplicationScope scope) {
        QueryState query = add(safety, scope);
        query.mayHaveRunOn = RouterHarness.readyEndpoint("a");
        completion.finish(query);
        return actions.actions().get(0);
    }

    @Test
    void queryThatNeverRanIsRejectedAndRemoved() {
        QueryState query = add(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL);
        completion.finish(query);
        assertEquals(List.of(new Reject(1, RETRY_AFTER_NS)), actions.actions());
        assertFalse(queue.contains(query));
        assertFalse(queries.contains(1));
    }

    @Test
    void atMostOnceQueryThatMayHaveRunFails() {
        assertEquals(
                new Fail(1),
                answerIfItMayHaveRun(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL));
    }

    @Test
    void zoneDeduplicatedQueryThatMayHaveRunFails() {
        assertEquals(
                new Fail(1),
                answerIfItMayHaveRun(RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE));
    }

    @Test
    void idempotentQueryThatMayHaveRunIsRejected() {
        assertEquals(
                new Reject(1, RETRY_AFTER_NS),
                answerIfItMayHaveRun(RetrySafety.IDEMPOTENT, DeduplicationScope.ALL));
    }

    @Test
    void queuedQueryIsAnsweredBeforeItsDeadline() {
        QueryState query = add(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL);
        completion.finishIfDue(query, query.deadlineNs - 60 * MS - 1);
        assertTrue(actions.actions().isEmpty());
        completion.finishIfDue(query, query.deadlineNs - 60 * MS);
        assertEquals(1, actions.actions().size());
        completion.finishIfDue(query, query.deadlineNs);
        assertEquals(1, actions.actions().size());
    }

    @Test
    void queryIsKeptUntilItsAttemptHasEnded() {
        QueryState query = add(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL);
        query.startAttempt(TestStates.engine("a"), NOW_NS);
        query.finished = true;
        completion.removeIfDone(query);
        assertTrue(queries.contains(1));
        query.engine = null;
        completion.removeIfDone(query);
        assertFalse(queries.contains(1));
    }
}
