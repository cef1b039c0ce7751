package ashlink.decisions;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.Settings;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Creates and wires the components of the workload manager for the settings of one router. */
final class WorkloadManagerComponents {

    final ActionBuffer actions = new ActionBuffer();
    final boolean endpointsMustBeWatched;
    final EngineDirectory engines;
    final ConcurrencyLimiter limiter;
    final ConcurrencyFeedback feedback;
    final HealthCheckScheduler healthChecks;
    final TableGroupPlacement placement;
    final QueryCompletion completion;
    final QueryDispatcher dispatcher;
    final SubmissionHandler submissions;
    final AttemptHandler attempts;
    final ClientDisconnectHandler disconnects;
    final MaintenanceTask maintenance;

    private final Capabilities capabilities;
    private final ActiveQueries queries = new ActiveQueries();
    private final AdmissionQueue queue = new AdmissionQueue();
    private final ResponseTimeModel responseTimes = new ResponseTimeModel();
    private final FleetLoadEstimator fleetLoad = new FleetLoadEstimator();
    private final OverloadDetector overload = new OverloadDetector(responseTimes, fleetLoad);
    private final ShortQueryClassifier shortQueries;
    private final KeyOrdering keyOrdering;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final MemoryGrantEstimator memoryGrants;
    private final OutlierDetector outliers;
    private final AttemptCanceller canceller;
    private final QueryRestartPolicy restartPolicy;

    WorkloadManagerComponents(Settings settings) {
        capabilities = settings.capabilities();
        endpointsMustBeWatched = capabilities.endpointsMustBeWatched();
        SplittableRandom random = new SplittableRandom(settings.seed());
        Map<String, QueryClassStatistics> classes = statistics(settings);
        engines = new EngineDirectory(settings.kinds());
        shortQueries = new ShortQueryClassifier(classes.values());
        keyOrdering = new KeyOrdering(settings.limits().keyQuietPeriodNs());
        retryBudget = new RetryBudget(settings.limits());
        retryPolicy = new RetryPolicy(capabilities.maxAttempts());
        memoryGrants = new MemoryGrantEstimator(capabilities);
        outliers = new OutlierDetector(capabilities.progressIntervalNs(), responseTimes);
        canceller = new AttemptCanceller(capabilities.cancellation(), retryPolicy, actions);
        restartPolicy = restartPolicy();
        healthChecks = new HealthCheckScheduler(capabilities.healthChecks(), shortQueries, actions);
        placement = new TableGroupPlacement(engines, settings.classes());
        limiter =
                new ConcurrencyLimiter(
                        settings, random, engines, queries, shortQueries, fleetLoad, overload);
        feedback = new ConcurrencyFeedback(limiter, fleetLoad, queue);
        completion =
                new QueryCompletion(
                        capabilities.maxRetryAfterNs(), queue, queries, keyOrdering, actions);
        dispatcher = dispatcher(settings, random);
        submissions = submissions(settings, classes);
        attempts = attempts();
        disconnects = new ClientDisconnectHandler(queries, canceller, completion);
        maintenance = maintenance();
    }

    private static Map<String, QueryClassStatistics> statistics(Settings settings) {
        Map<String, QueryClassStatistics> classes = new LinkedHashMap<>();
        for (QueryClass queryClass : settings.classes()) {
            classes.put(queryClass.name(), new QueryClassStatistics(queryClass));
        }
        return classes;
    }

    private QueryRestartPolicy restartPolicy() {
        return new QueryRestartPolicy(
                capabilities.progressIntervalNs(),
                canceller,
                memoryGrants,
                responseTimes,
                shortQueries);
    }

    private QueryDispatcher dispatcher(Settings settings, SplittableRandom random) {
        SlowStart slowStart = new SlowStart(settings, random);
        DispatchEligibility eligibility =
                new DispatchEligibility(retryPolicy, keyOrdering, slowStart, retryBudget);
        EngineLoadScore loadScore =
                new EngineLoadScore(settings.classes(), fleetLoad, overload, responseTimes);
        EndpointSelector selector =
                new EndpointSelector(
                        random, engines, eligibility, limiter, placement, healthChecks, loadScore);
        return new QueryDispatcher(
                capabilities,
                queue,
                eligibility,
                selector,
                retryBudget,
                slowStart,
                memoryGrants,
                new PriorityPolicy(capabilities.priorities(), shortQueries),
                actions);
    }

    private SubmissionHandler submissions(
            Settings settings, Map<String, QueryClassStatistics> classes) {
        return new SubmissionHandler(
                classes,
                queries,
                queue,
                keyOrdering,
                new TenantQuota(settings),
                fleetLoad,
                retryBudget,
                healthChecks,
                actions);
    }

    private AttemptHandler attempts() {
        return new AttemptHandler(
                capabilities.cancellation(),
                engines,
                queries,
                queue,
                keyOrdering,
                retryPolicy,
                completion,
                outliers,
                new CompletionRecorder(responseTimes, overload, memoryGrants),
                restartPolicy);
    }

    private MaintenanceTask maintenance() {
        return new MaintenanceTask(
                engines,
                retryBudget,
                fleetLoad,
                overload,
                limiter,
                feedback,
                healthChecks,
                new LoadSheddingPolicy(queue, keyOrdering, completion),
                keyOrdering,
                restartPolicy,
                outliers,
                canceller,
                actions);
    }
}
