package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.RetrySafety;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Whether and where a query may be sent again. */
class RetryPolicyTest {

    /** Deduplication window of the class, less one maintenance interval. */
    private static final long SAFE_WINDOW_NS = 2_000 * MS - 50 * MS;

    private final RetryPolicy policy = new RetryPolicy(4);
    private final EngineState engine = TestStates.engine("a");
    private final EngineState sameZone = TestStates.engine("b");
    private final EngineState otherZone = TestStates.engine("c");

    RetryPolicyTest() {
        otherZone.endpoint = RouterHarness.endpoint("c", "z2", "big", EndpointState.READY, 0);
    }

    /** A query with an attempt on the engine that ended like this. */
    private QueryState ended(RetrySafety safety, DeduplicationScope scope, Outcome outcome) {
        QueryState query = TestStates.query(1, RouterHarness.loadClass(safety, scope, false));
        query.startAttempt(engine, NOW_NS);
        query.engine = null;
        policy.recordOutcome(query, outcome);
        return query;
    }

    @Test
    void unsafeQueryThatMayHaveRunIsNotRetried() {
        QueryState query = ended(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, Outcome.RESET);
        assertFalse(policy.mayRetry(query));
        assertFalse(policy.allows(query, engine, NOW_NS));
    }

    @Test
    void unsafeQueryThatNeverRanIsRetriedAnywhere() {
        QueryState query =
                ended(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, Outcome.REJECTED);
        assertTrue(policy.mayRetry(query));
        assertTrue(policy.allows(query, otherZone, NOW_NS));
    }

    @Test
    void idempotentQueryIsRetriedAnywhereAtAnyTime() {
        QueryState query = ended(RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, Outcome.ERROR);
        assertTrue(policy.allows(query, otherZone, NOW_NS + 10_000 * MS));
    }

    @Test
    void deduplicatedQueryIsRetriedWithinItsScopeOnly() {
        QueryState query = ended(RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE, Outcome.ERROR);
        assertTrue(policy.allows(query, sameZone, NOW_NS));
        assertFalse(policy.allows(query, otherZone, NOW_NS));
    }

    @Test
    void deduplicationScopeOfACellFollowsTheCell() {
        QueryState query = ended(RetrySafety.DEDUPLICATED, DeduplicationScope.CELL, Outcome.ERROR);
        assertTrue(policy.allows(query, sameZone, NOW_NS));
        assertFalse(policy.allows(query, otherZone, NOW_NS));
    }

    @Test
    void deduplicatedQueryIsRetriedWithinItsWindowOnly() {
        QueryState query = ended(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, Outcome.ERROR);
        assertTrue(policy.allows(query, otherZone, NOW_NS + SAFE_WINDOW_NS - 1));
        assertFalse(policy.allows(query, otherZone, NOW_NS + SAFE_WINDOW_NS));
    }

    @Test
    void windowStartsWithTheFirstAttemptThatMayHaveRun() {
        QueryState query = ended(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, Outcome.ERROR);
        query.startAttempt(otherZone, NOW_NS + 1_000 * MS);
        policy.recordOutcome(query, Outcome.ERROR);
        assertSame(engine.endpoint, query.mayHaveRunOn);
        assertEquals(NOW_NS, query.mayHaveRunSinceNs);
    }

    @Test
    void attemptThatNeverRanLeavesNoTrace() {
        for (Outcome outcome :
                List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)) {
            assertNull(
                    ended(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, outcome).mayHaveRunOn,
                    outcome.name());
        }
    }

    @Test
    void attemptsAreLimited() {
        QueryState query = ended(RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, Outcome.ERROR);
        query.attempts = 3;
        assertTrue(policy.mayRetry(query));
        query.attempts = 4;
        assertFalse(policy.mayRetry(query));
    }

    @Test
    void onlyAnAttemptWithoutResultMayStillRun() {
        Set<Outcome> running = EnumSet.noneOf(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            if (RetryPolicy.mayStillRun(outcome)) {
                running.add(outcome);
            }
        }
        assertEquals(EnumSet.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED), running);
    }
}
