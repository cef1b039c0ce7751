package ashlink.decisions;

import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Capabilities;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes queries from the queue in order and starts an attempt for each query that finds an engine.
 */
final class QueryDispatcher {

    /** Time before the client's deadline at which an attempt times out. */
    private static final long TIMEOUT_MARGIN_NS = 10 * Nanos.PER_MS;

    private static final long MIN_TIMEOUT_NS = Nanos.PER_MS;

    private final boolean setsResources;
    private final AdmissionQueue queue;
    private final DispatchEligibility eligibility;
    private final EndpointSelector selector;
    private final RetryBudget retryBudget;
    private final SlowStart slowStart;
    private final MemoryGrantEstimator memoryGrants;
    private final PriorityPolicy priorityPolicy;
    private final ActionBuffer actions;

    QueryDispatcher(
            Capabilities capabilities,
            AdmissionQueue queue,
            DispatchEligibility eligibility,
            EndpointSelector selector,
            RetryBudget retryBudget,
            SlowStart slowStart,
            MemoryGrantEstimator memoryGrants,
            PriorityPolicy priorityPolicy,
            ActionBuffer actions) {
        this.setsResources = capabilities.memoryGrants() || capabilities.priorities();
        this.queue = queue;
        this.eligibility = eligibility;
        this.selector = selector;
        this.retryBudget = retryBudget;
        this.slowStart = slowStart;
        this.memoryGrants = memoryGrants;
        this.priorityPolicy = priorityPolicy;
        this.actions = actions;
    }

    /**
     * Starts attempts for the queued queries. Once a query finds no engine, the other queries of
     * its class are skipped in this pass.
     */
    void dispatch(long nowNs) {
        List<QueryClassStatistics> blockedClasses = new ArrayList<>();
        for (QueryState query : queue.snapshot()) {
            if (blockedClasses.contains(query.statistics)
                    || !eligibility.mayStartAnywhere(query, nowNs)) {
                continue;
            }
            EngineState engine = selector.select(query, nowNs);
            if (engine != null) {
                query.checkedCandidates = List.of();
                queue.remove(query);
                start(query, engine, nowNs);
            } else if (query.checkedCandidates.isEmpty()) {
                blockedClasses.add(query.statistics);
            }
        }
    }

    private void start(QueryState query, EngineState engine, long nowNs) {
        if (query.attempts > 0) {
            retryBudget.recordRetry(nowNs);
        }
        slowStart.recordStart(query, engine, nowNs);
        if (engine.limit.threads == 0 && engine.limit.completions == 0) {
            engine.limit.periodStartNs = nowNs;
        }
        query.grantMb = memoryGrants.grantForAttemptMb(query, engine);
        if (setsResources) {
            int priority = priorityPolicy.priorityOf(query, nowNs);
            actions.add(new SetAttemptResources(query.id, priority, query.grantMb));
        }
        query.startAttempt(engine, nowNs);
        engine.runningQueries.add(query);
        engine.addLoad(query);
        long timeoutNs = query.deadlineNs - nowNs - TIMEOUT_MARGIN_NS;
        actions.add(new StartAttempt(query.id, engine.name, Math.max(MIN_TIMEOUT_NS, timeoutNs)));
    }
}
