package ashlink.decisions;

import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that each invariant alone prevents the start of an attempt. */
class DispatchEligibilityTest {

    private static final QueryClass LOOKUP = RouterHarness.shortClass("lookup");
    private static final QueryClass REPORT = RouterHarness.reportClass(Set.of("big"), Set.of("z1"));
    private static final PolicyLimits NO_RETRIES =
            new PolicyLimits(0, 0, 0, 0, 0, 0, 0, 0, 10_000 * MS);

    private final KeyOrdering keyOrdering = new KeyOrdering(LIMITS.keyQuietPeriodNs());
    private final EngineState engine = TestStates.engine("a");
    private final QueryState query = TestStates.query(1, LOOKUP);

    private DispatchEligibility eligibility(PolicyLimits limits) {
        SlowStart slowStart =
                new SlowStart(
                        RouterHarness.settings(1, RouterHarness.CAPABILITIES, limits, LOOKUP),
                        new SplittableRandom(7));
        return new DispatchEligibility(
                new RetryPolicy(4), keyOrdering, slowStart, new RetryBudget(limits));
    }

    private boolean mayStart(QueryState candidate) {
        return eligibility(LIMITS).mayStart(candidate, engine, NOW_NS);
    }

    private void list(String zone, String kind, EndpointState state, long startedNs) {
        engine.endpoint = RouterHarness.endpoint("a", zone, kind, state, startedNs);
    }

    @Test
    void readyEngineAcceptsAQuery() {
        assertTrue(mayStart(query));
    }

    @Test
    void drainingEngineAcceptsNoQuery() {
        list("z1", "big", EndpointState.DRAINING, 0);
        assertFalse(mayStart(query));
    }

    @Test
    void unlistedEngineAcceptsNoQuery() {
        engine.endpoint = null;
        assertFalse(mayStart(query));
    }

    @Test
    void finishedQueryDoesNotStart() {
        query.finished = true;
        assertFalse(mayStart(query));
    }

    @Test
    void queryWithAnAttemptInFlightDoesNotStart() {
        query.startAttempt(engine, NOW_NS);
        assertFalse(mayStart(query));
    }

    @Test
    void queryWithoutAttemptsLeftDoesNotStart() {
        query.attempts = 4;
        assertFalse(mayStart(query));
    }

    @Test
    void otherKindOfEngineIsNotAllowed() {
        assertTrue(mayStart(TestStates.query(2, REPORT)));
        list("z1", "small", EndpointState.READY, 0);
        assertFalse(mayStart(TestStates.query(2, REPORT)));
    }

    @Test
    void otherZoneIsNotAllowed() {
        list("z2", "big", EndpointState.READY, 0);
        assertFalse(mayStart(TestStates.query(2, REPORT)));
    }

    @Test
    void queryWaitsForThePreviousQueryOfItsKey() {
        QueryClass ordered =
                RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true);
        QueryClassStatistics statistics = new QueryClassStatistics(ordered);
        KeyQueue queue = keyOrdering.queueFor(TestStates.submitted(1, "load", "k"), ordered);
        keyOrdering.add(TestStates.query(1, statistics, queue));
        QueryState second = TestStates.query(2, statistics, queue);
        keyOrdering.add(second);
        assertFalse(mayStart(second));
        assertFalse(eligibility(LIMITS).mayStartAnywhere(second, NOW_NS));
    }

    @Test
    void atMostOnceQueryThatMayHaveRunDoesNotStart() {
        QueryState load =
                TestStates.query(
                        1,
                        RouterHarness.loadClass(
                                RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false));
        load.mayHaveRunOn = engine.endpoint;
        assertFalse(mayStart(load));
    }

    @Test
    void warmingEngineWithoutBudgetAcceptsNoQuery() {
        list("z1", "big", EndpointState.READY, NOW_NS);
        assertTrue(mayStart(query));
        engine.slowStartBudgetTimeNs = NOW_NS;
        assertFalse(mayStart(query));
    }

    @Test
    void retryBeyondTheBudgetDoesNotStart() {
        query.attempts = 1;
        assertTrue(mayStart(query));
        assertFalse(eligibility(NO_RETRIES).mayStart(query, engine, NOW_NS));
        assertFalse(eligibility(NO_RETRIES).mayStartAnywhere(query, NOW_NS));
    }
}
