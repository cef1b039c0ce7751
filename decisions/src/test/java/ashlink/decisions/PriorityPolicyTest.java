package ashlink.decisions;

import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the scheduling priority of an attempt, and the classification of short queries. */
class PriorityPolicyTest {

    /** The class with the most work; its prior value is 10 s. */
    private final QueryClassStatistics reports =
            new QueryClassStatistics(RouterHarness.reportClass(Set.of(), Set.of()));

    private final QueryClassStatistics lookups =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));
    private final ShortQueryClassifier shortQueries =
            new ShortQueryClassifier(List.of(reports, lookups));
    private final PriorityPolicy policy = new PriorityPolicy(true, shortQueries);
    private final QueryState lookup = TestStates.query(1, lookups);
    private final QueryState report = TestStates.query(2, reports, null, 10_000, 1);

    @Test
    void shortQueriesRunFirst() {
        assertEquals(3, policy.priorityOf(lookup, NOW_NS));
        assertEquals(1, policy.priorityOf(report, NOW_NS));
    }

    @Test
    void queriesThatMissedTheirObjectiveRunLast() {
        assertEquals(3, policy.priorityOf(lookup, lookup.objectiveEndNs() - 1));
        assertEquals(0, policy.priorityOf(lookup, lookup.objectiveEndNs()));
    }

    @Test
    void allPrioritiesAreEqualWithoutEngineSupport() {
        PriorityPolicy withoutPriorities = new PriorityPolicy(false, shortQueries);
        assertEquals(1, withoutPriorities.priorityOf(lookup, lookup.objectiveEndNs()));
    }

    @Test
    void queryIsShortBelowAFifthOfTheLongestClass() {
        assertTrue(shortQueries.isShort(TestStates.query(3, reports, null, 1_999, 1)));
        assertFalse(shortQueries.isShort(TestStates.query(3, reports, null, 2_000, 1)));
    }
}
