package ashlink.decisions;

import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Event.QuerySubmitted;
import java.util.Map;

/** Queues submitted queries with their expected work and priority weight. */
final class SubmissionHandler {

    private final Map<String, QueryClassStatistics> classes;
    private final ActiveQueries queries;
    private final AdmissionQueue queue;
    private final KeyOrdering keyOrdering;
    private final TenantQuota tenantQuota;
    private final FleetLoadEstimator fleetLoad;
    private final RetryBudget retryBudget;
    private final HealthCheckScheduler healthChecks;
    private final ActionBuffer actions;
    private long nextSequence;

    SubmissionHandler(
            Map<String, QueryClassStatistics> classes,
            ActiveQueries queries,
            AdmissionQueue queue,
            KeyOrdering keyOrdering,
            TenantQuota tenantQuota,
            FleetLoadEstimator fleetLoad,
            RetryBudget retryBudget,
            HealthCheckScheduler healthChecks,
            ActionBuffer actions) {
        this.classes = classes;
        this.queries = queries;
        this.queue = queue;
        this.keyOrdering = keyOrdering;
        this.tenantQuota = tenantQuota;
        this.fleetLoad = fleetLoad;
        this.retryBudget = retryBudget;
        this.healthChecks = healthChecks;
        this.actions = actions;
    }

    /**
     * Queues a query, or rejects it if its class is unknown or its identifier is in use.
     *
     * @return the queued query; null if the query was rejected
     */
    QueryState submit(QuerySubmitted submitted, long nowNs) {
        QueryClassStatistics statistics = classes.get(submitted.queryClass());
        if (statistics == null || queries.contains(submitted.id())) {
            actions.add(new Reject(submitted.id(), 0));
            return null;
        }
        retryBudget.recordQuery(nowNs);
        double estimateMs = estimateMs(submitted, statistics);
        healthChecks.creditQuery();
        KeyQueue keyQueue = keyOrdering.queueFor(submitted, statistics.queryClass);
        double weightFraction =
                tenantQuota.weightFraction(submitted.tenant(), fleetLoad.trafficFraction(), nowNs);
        double weight = statistics.queryClass.priorityWeight() * weightFraction;
        QueryState query =
                new QueryState(
                        submitted, statistics, keyQueue, nextSequence++, estimateMs, weight, nowNs);
        queries.add(query);
        keyOrdering.add(query);
        queue.add(query);
        return query;
    }

    private static double estimateMs(QuerySubmitted submitted, QueryClassStatistics statistics) {
        if (submitted.estimatedWorkNs() <= 0) {
            return statistics.priorWorkMs();
        }
        double estimateMs = submitted.estimatedWorkNs() / (double) Nanos.PER_MS;
        statistics.recordEstimate(estimateMs);
        return estimateMs;
    }
}
