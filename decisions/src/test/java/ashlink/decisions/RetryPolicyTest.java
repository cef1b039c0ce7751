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

/** Tests whether and on which engines a query may be retried. */
class RetryPolicyTest {

    /** Deduplication window of the class minus one maintenance interval. */
    private static final long SAFE_WINDOW_NS = 2_000 * MS - 50 * MS;

    private final RetryPolicy policy = new RetryPolicy(4);
    private final EngineState engine = TestStates.engine("a");
    private final EngineState sameZone = TestStates.engine("b");
    private final EngineState otherZone = TestStates.engine("c");

    RetryPolicyTest() {
        otherZone.endpoint = RouterHarness.endpoint("c", "z2", "big", EndpointState.READY, 0);
    }

    /** Returns a query whose attempt on the engine ended with the outcome. */
    private QueryState endedQuery(RetrySafety safety, DeduplicationScope scope, Outcome outcome) {
        QueryState query = TestStates.query(1, RouterHarness.loadClass(safety, scope, false));
        query.startAttempt(engine, NOW_NS);
        query.engine = null;
        policy.recordOutcome(query, outcome);
        return query;
    }

    @Test
    void atMostOnceQueryThatMayHaveRunIsNotRetried() {
        QueryState query =
                endedQuery(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, Outcome.RESET);
        assertFalse(policy.mayRetry(query));
        assertFalse(policy.allows(query, engine, NOW_NS));
    }

    @Test
    void atMostOnceQueryThatNeverRanIsRetriedAnywhere() {
        QueryState query =
                endedQuery(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, Outcome.REJECTED);
        assertTrue(policy.mayRetry(query));
        assertTrue(policy.allows(query, otherZone, NOW_NS));
    }

    @Test
    void idempotentQueryIsRetriedAnywhereAtAnyTime() {
        QueryState query =
                endedQuery(RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, Outcome.ERROR);
        assertTrue(policy.allows(query, otherZone, NOW_NS + 10_000 * MS));
    }

    @Test
    void deduplicatedQueryIsRetriedWithinItsScopeOnly() {
        QueryState query =
                endedQuery(RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE, Outcome.ERROR);
        assertTrue(policy.allows(query, sameZone, NOW_NS));
        assertFalse(policy.allows(query, otherZone, NOW_NS));
    }

    @Test
    void cellDeduplicatedQueryIsRetriedWithinItsCellOnly() {
        QueryState query =
                endedQuery(RetrySafety.DEDUPLICATED, DeduplicationScope.CELL, Outcome.ERROR);
        assertTrue(policy.allows(query, sameZone, NOW_NS));
        assertFalse(policy.allows(query, otherZone, NOW_NS));
    }

    @Test
    void deduplicatedQueryIsRetriedWithinItsWindowOnly() {
        QueryState query =
                endedQuery(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, Outcome.ERROR);
        assertTrue(policy.allows(query, otherZone, NOW_NS + SAFE_WINDOW_NS - 1));
        assertFalse(policy.allows(query, otherZone, NOW_NS + SAFE_WINDOW_NS));
    }

    @Test
    void windowStartsWithTheFirstAttemptThatMayHaveRun() {
        QueryState query =
                endedQuery(RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, Outcome.ERROR);
        query.startAttempt(otherZone, NOW_NS + 1_000 * MS);
        policy.recordOutcome(query, Outcome.ERROR);
        assertSame(engine.endpoint, query.mayHaveRunOn);
        assertEquals(NOW_NS, query.mayHaveRunSinceNs);
    }

    @Test
    void attemptThatNeverRanIsNotRecorded() {
        for (Outcome outcome :
                List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)) {
            assertNull(
                    endedQuery(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, outcome)
                            .mayHaveRunOn,
                    outcome.name());
        }
    }

    @Test
    void attemptsAreLimited() {
        QueryState query =
                endedQuery(RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, Outcome.ERROR);
        query.attempts = 3;
        assertTrue(policy.mayRetry(query));
        query.attempts = 4;
        assertFalse(policy.mayRetry(query));
    }

    @Test
    void onlyAnAttemptWithoutResultMayStillRun() {
        Set<Outcome> mayStillRun = EnumSet.noneOf(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            if (RetryPolicy.mayStillRun(outcome)) {
                mayStillRun.add(outcome);
            }
        }
        assertEquals(EnumSet.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED), mayStillRun);
    }
}
