package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.PolicyLimits;
import org.junit.jupiter.api.Test;

/** Tests the number of retries allowed in a window. */
class RetryBudgetTest {

    private static final long WINDOW_NS = 10_000 * MS;

    private final QueryState retried = TestStates.query(1, RouterHarness.shortClass("lookup"));

    RetryBudgetTest() {
        retried.attempts = 1;
    }

    private static RetryBudget budget(double freeRetries, double retriesPerQuery, long windowNs) {
        return new RetryBudget(
                new PolicyLimits(0, 0, 0, 0, 0, 0, freeRetries, retriesPerQuery, windowNs));
    }

    @Test
    void firstAttemptNeedsNoBudget() {
        QueryState first = TestStates.query(2, RouterHarness.shortClass("lookup"));
        assertTrue(budget(0, 0, WINDOW_NS).allows(first, NOW_NS));
    }

    @Test
    void allRetriesAreAllowedWithoutAWindow() {
        assertTrue(budget(0, 0, 0).allows(retried, NOW_NS));
    }

    @Test
    void freeRetriesNeedNoQueries() {
        RetryBudget budget = budget(1, 0, WINDOW_NS);
        assertTrue(budget.allows(retried, NOW_NS));
        budget.recordRetry(NOW_NS);
        assertFalse(budget.allows(retried, NOW_NS));
    }

    @Test
    void queriesAllowAFractionOfRetries() {
        RetryBudget budget = budget(0, 0.5, WINDOW_NS);
        budget.recordQuery(NOW_NS);
        assertFalse(budget.allows(retried, NOW_NS));
        budget.recordQuery(NOW_NS);
        assertTrue(budget.allows(retried, NOW_NS));
        budget.recordRetry(NOW_NS);
        assertFalse(budget.allows(retried, NOW_NS));
    }

    @Test
    void queryAsOldAsTheWindowNoLongerCounts() {
        RetryBudget budget = budget(0, 1, WINDOW_NS);
        budget.recordQuery(NOW_NS);
        assertTrue(budget.allows(retried, NOW_NS + WINDOW_NS - 1));
        assertFalse(budget.allows(retried, NOW_NS + WINDOW_NS));
    }

    @Test
    void retryAsOldAsTheWindowStillCounts() {
        RetryBudget budget = budget(1, 0, WINDOW_NS);
        budget.recordRetry(NOW_NS);
        assertFalse(budget.allows(retried, NOW_NS + WINDOW_NS));
        assertTrue(budget.allows(retried, NOW_NS + WINDOW_NS + 1));
    }
}
