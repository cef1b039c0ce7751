package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import org.junit.jupiter.api.Test;

/** Tests the order of the queries with the same ordering key. */
class KeyOrderingTest {

    private static final long QUIET_PERIOD_NS = 300 * MS;
    private static final QueryClass ORDERED =
            RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true);

    private final KeyOrdering ordering = new KeyOrdering(QUIET_PERIOD_NS);
    private final QueryState first = submit(1, "k");
    private final QueryState second = submit(2, "k");

    private QueryState submit(long id, String key) {
        KeyQueue queue = ordering.queueFor(TestStates.submitted(id, "load", key), ORDERED);
        QueryState query = TestStates.query(id, new QueryClassStatistics(ORDERED), queue);
        ordering.add(query);
        return query;
    }

    @Test
    void onlyTheFirstQueryOfAKeyMayStart() {
        assertTrue(ordering.allows(first, NOW_NS));
        assertFalse(ordering.allows(second, NOW_NS));
    }

    @Test
    void nextQueryMayStartAfterTheFirstIsRemoved() {
        ordering.remove(first);
        assertTrue(ordering.allows(second, NOW_NS));
    }

    @Test
    void keysAreIndependent() {
        assertTrue(ordering.allows(submit(3, "other"), NOW_NS));
    }

    @Test
    void queryWithoutKeyOrOfAnUnorderedClassHasNoQueue() {
        QueryClass unordered =
                RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false);
        assertNull(ordering.queueFor(TestStates.submitted(4, "load", null), ORDERED));
        assertNull(ordering.queueFor(TestStates.submitted(4, "load", "k"), unordered));
        assertTrue(ordering.allows(TestStates.query(4, unordered), NOW_NS));
    }

    @Test
    void nextQueryWaitsForTheQuietPeriod() {
        ordering.pause(first, NOW_NS);
        ordering.remove(first);
        assertFalse(ordering.allows(second, NOW_NS + QUIET_PERIOD_NS - 1));
        assertTrue(ordering.allows(second, NOW_NS + QUIET_PERIOD_NS));
    }

    @Test
    void retryDoesNotWaitForTheQuietPeriod() {
        first.attempts = 1;
        ordering.pause(first, NOW_NS);
        assertTrue(ordering.allows(first, NOW_NS));
    }

    @Test
    void idleKeyIsRemovedOnlyAfterItsQuietPeriod() {
        KeyQueue queue = first.keyQueue;
        ordering.pause(first, NOW_NS);
        ordering.remove(first);
        ordering.remove(second);
        ordering.removeIdle(NOW_NS + QUIET_PERIOD_NS - 1);
        assertSame(queue, ordering.queueFor(TestStates.submitted(5, "load", "k"), ORDERED));
        ordering.removeIdle(NOW_NS + QUIET_PERIOD_NS);
        assertNotSame(queue, ordering.queueFor(TestStates.submitted(5, "load", "k"), ORDERED));
    }

    @Test
    void keyWithQueriesIsNotRemoved() {
        KeyQueue queue = first.keyQueue;
        ordering.removeIdle(NOW_NS);
        assertSame(queue, ordering.queueFor(TestStates.submitted(5, "load", "k"), ORDERED));
    }
}
