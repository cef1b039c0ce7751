package ashlink.decisions;

import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order of the admission queue. */
class AdmissionQueueTest {

    private final AdmissionQueue queue = new AdmissionQueue();
    private final QueryClassStatistics statistics =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));

    private QueryState add(long id, double estimateMs, double weight) {
        QueryState query = TestStates.query(id, statistics, null, estimateMs, weight);
        queue.add(query);
        return query;
    }

    private List<Long> order() {
        return queue.snapshot().stream().map(query -> query.id).toList();
    }

    @Test
    void highestWeightIsFirst() {
        add(1, 10, 1);
        add(2, 20, 2);
        assertEquals(List.of(2L, 1L), order());
    }

    @Test
    void leastWorkIsFirstAmongEqualWeights() {
        add(1, 20, 1);
        add(2, 10, 1);
        assertEquals(List.of(2L, 1L), order());
    }

    @Test
    void equalQueriesAreInOrderOfSubmission() {
        add(2, 10, 1);
        add(1, 10, 1);
        assertEquals(List.of(1L, 2L), order());
    }

    @Test
    void changedWeightMovesTheQuery() {
        QueryState first = add(1, 10, 2);
        add(2, 10, 1);
        queue.changeWeight(first, 0.5);
        assertEquals(List.of(2L, 1L), order());
        queue.remove(first);
        assertFalse(queue.contains(first));
    }

    @Test
    void objectiveIsMissedFromItsEnd() {
        QueryState query = add(1, 10, 1);
        assertFalse(queue.isObjectiveMissed(query.objectiveEndNs() - 1));
        assertTrue(queue.isObjectiveMissed(query.objectiveEndNs()));
    }

    @Test
    void emptyQueueMissesNoObjective() {
        assertFalse(queue.isObjectiveMissed(NOW_NS));
    }
}
