package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.Reject;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which queued queries are answered before their deadline. */
class LoadSheddingPolicyTest {

    private final AdmissionQueue queue = new AdmissionQueue();
    private final ActiveQueries queries = new ActiveQueries();
    private final ActionBuffer actions = new ActionBuffer();
    private final KeyOrdering keyOrdering = new KeyOrdering(0);
    private final LoadSheddingPolicy policy =
            new LoadSheddingPolicy(
                    queue,
                    keyOrdering,
                    new QueryCompletion(0, queue, queries, keyOrdering, actions));

    /**
     * A lookup of 100 ms. From 500 ms after its submission, it is expected to miss its objective of
     * 500 ms plus its work.
     */
    private final QueryState lookup = TestStates.query(1, RouterHarness.shortClass("lookup"));

    LoadSheddingPolicyTest() {
        add(lookup);
    }

    private void add(QueryState query) {
        queries.add(query);
        queue.add(query);
    }

    @Test
    void queryThatCanMeetItsObjectiveStaysQueued() {
        policy.review(NOW_NS + 499 * MS);
        assertTrue(queue.contains(lookup));
        assertEquals(lookup.initialWeight, lookup.weight);
    }

    @Test
    void lateQueryStaysQueuedWithItsLateWeight() {
        policy.review(NOW_NS + 500 * MS);
        policy.review(NOW_NS + 550 * MS);
        assertTrue(queue.contains(lookup));
        assertEquals(0.1 * lookup.initialWeight, lookup.weight);
    }

    @Test
    void lateQueryIsRejectedForAQueryThatCanMeetItsObjective() {
        add(TestStates.query(2, RouterHarness.reportClass(Set.of(), Set.of())));
        policy.review(NOW_NS + 500 * MS);
        assertEquals(List.of(new Reject(1, 0)), actions.actions());
    }

    @Test
    void queryIsAnsweredBeforeItsDeadline() {
        policy.review(lookup.deadlineNs - 60 * MS);
        assertEquals(List.of(new Reject(1, 0)), actions.actions());
    }
}
