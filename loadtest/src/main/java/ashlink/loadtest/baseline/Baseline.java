package ashlink.loadtest.baseline;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A simple load balancer for comparison: queries wait in a FIFO queue until the policy selects an
 * engine. Failed attempts are retried up to the maximum number of attempts if the query class
 * allows retries, and queries near their deadline are completed without a result. Engine health,
 * priority weights and slow start are ignored.
 */
public final class Baseline implements WorkloadManager {

    /** Selects the engine of an attempt. */
    public enum Policy {
        /** Selects the engines in rotation and never queues a query while an engine is allowed. */
        ROUND_ROBIN,
        /** Selects the engine with the fewest running threads, up to a limit per engine. */
        LEAST_OUTSTANDING
    }

    private static final long NS_PER_MS = 1_000_000L;

    /** Interval at which queued queries are checked for their deadline. */
    private static final long TIMER_INTERVAL_NS = 50 * NS_PER_MS;

    /** Time before its deadline at which a queued query is completed without a result. */
    private static final long RESPONSE_MARGIN_NS = 60 * NS_PER_MS;

    /** Time before the deadline of its query at which an attempt times out. */
    private static final long ATTEMPT_MARGIN_NS = 10 * NS_PER_MS;

    /** Running threads per core of an engine, over all routers. */
    private static final int MAX_THREADS_PER_CORE = 2;

    private static final class Query {
        QuerySubmitted submission;
        QueryClass queryClass;
        int attempts;
        boolean mayHaveRun;
        boolean completed;
        String engine;
    }

    private final Policy policy;
    private final Settings settings;
    private final Map<String, QueryClass> classes = new HashMap<>();
    private final Map<String, Endpoint> engines = new LinkedHashMap<>();
    private final Map<String, Integer> runningThreads = new HashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final ArrayDeque<Query> queuedQueries = new ArrayDeque<>();
    private final Map<String, ArrayDeque<Query>> queriesByKey = new HashMap<>();
    private List<Action> actions = new ArrayList<>();
    private int nextEngineIndex;
    private boolean timerSet;
    private long currentTimeNs;

    /** Creates the workload manager of one router. */
    public Baseline(Policy policy, Settings settings) {
        this.policy = policy;
        this.settings = settings;
        settings.classes().forEach(queryClass -> classes.put(queryClass.name(), queryClass));
    }

    @Override
    public List<Action> onEvent(Event event, long nowNs) {
        actions = new ArrayList<>();
        currentTimeNs = nowNs;
        if (!timerSet) {
            timerSet = true;
            actions.add(new SetTimer(1, currentTimeNs + TIMER_INTERVAL_NS));
        }
        if (event instanceof QuerySubmitted querySubmitted) {
            enqueue(querySubmitted);
        } else if (event instanceof AttemptEnded attemptEnded) {
            handleAttemptEnded(attemptEnded);
        } else if (event instanceof ClientDisconnected clientDisconnected
                && queries.containsKey(clientDisconnected.id())) {
            complete(queries.get(clientDisconnected.id()));
        } else if (event instanceof EndpointsChanged endpointsChanged) {
            updateEndpoints(endpointsChanged);
        } else if (event instanceof TimerFired) {
            actions.add(new SetTimer(1, currentTimeNs + TIMER_INTERVAL_NS));
            for (Query query : List.copyOf(queuedQueries)) {
                if (currentTimeNs + RESPONSE_MARGIN_NS >= query.submission.deadlineNs()) {
                    completeWithoutResult(query);
                }
            }
        }
        startQueuedQueries();
        return actions;
    }

    private void enqueue(QuerySubmitted querySubmitted) {
        Query query = new Query();
        query.submission = querySubmitted;
        query.queryClass = classes.get(querySubmitted.queryClass());
        if (query.queryClass == null) {
            actions.add(new Reject(querySubmitted.id(), 0));
            return;
        }
        queries.put(querySubmitted.id(), query);
        queuedQueries.add(query);
        if (query.queryClass.ordered() && querySubmitted.key() != null) {
            queriesByKey
                    .computeIfAbsent(querySubmitted.key(), key -> new ArrayDeque<>())
                    .add(query);
        }
    }

    private void startQueuedQueries() {
        for (Query query : List.copyOf(queuedQueries)) {
            ArrayDeque<Query> sameKeyQueries =
                    query.submission.key() == null
                            ? null
                            : queriesByKey.get(query.submission.key());
            String engine =
                    sameKeyQueries != null && sameKeyQueries.peek() != query
                            ? null
                            : selectEngine(query.queryClass);
            if (engine != null) {
                queuedQueries.remove(query);
                query.engine = engine;
                query.attempts++;
                runningThreads.merge(engine, query.queryClass.threads(), Integer::sum);
                actions.add(
                        new StartAttempt(
                                query.submission.id(),
                                engine,
                                Math.max(
                                        NS_PER_MS,
                                        query.submission.deadlineNs()
                                                - currentTimeNs
                                                - ATTEMPT_MARGIN_NS)));
            }
        }
    }

    private String selectEngine(QueryClass queryClass) {
        List<String> candidates = new ArrayList<>();
        for (Endpoint endpoint : engines.values()) {
            boolean allowed =
                    endpoint.state() == EndpointState.READY
                            && (queryClass.engineKinds().isEmpty()
                                    || queryClass.engineKinds().contains(endpoint.kind()))
                            && (queryClass.zones().isEmpty()
                                    || queryClass.zones().contains(endpoint.zone()));
            if (allowed
                    && (policy == Policy.ROUND_ROBIN
                            || runningThreads.getOrDefault(endpoint.engine(), 0)
                                    < maxThreads(endpoint))) {
                candidates.add(endpoint.engine());
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        if (policy == Policy.ROUND_ROBIN) {
            return candidates.get(Math.floorMod(nextEngineIndex++, candidates.size()));
        }
        return candidates.stream()
                .min(Comparator.comparingInt(engine -> runningThreads.getOrDefault(engine, 0)))
                .orElseThrow();
    }

    private int maxThreads(Endpoint endpoint) {
        int cores =
                settings.kinds().stream()
                        .filter(engineKind -> engineKind.name().equals(endpoint.kind()))
                        .mapToInt(EngineKind::cores)
                        .findFirst()
                        .orElse(1);
        return Math.max(1, MAX_THREADS_PER_CORE * cores / settings.routerCount());
    }

    private void handleAttemptEnded(AttemptEnded attemptEnded) {
        Query query = queries.get(attemptEnded.id());
        if (query == null || query.engine == null) {
            return;
        }
        runningThreads.merge(query.engine, -query.queryClass.threads(), Integer::sum);
        query.engine = null;
        query.mayHaveRun |= attemptEnded.outcome().mayHaveRun();
        if (attemptEnded.clientAnswered() || query.completed) {
            complete(query);
        } else if ((!query.mayHaveRun || query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT)
                && query.attempts < settings.capabilities().maxAttempts()
                && currentTimeNs + RESPONSE_MARGIN_NS < query.submission.deadlineNs()) {
            queuedQueries.addLast(query);
        } else {
            completeWithoutResult(query);
        }
    }

    private void completeWithoutResult(Query query) {
        boolean retrySafe =
                !query.mayHaveRun || query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT;
        actions.add(
                retrySafe
                        ? new Reject(
                                query.submission.id(), settings.capabilities().maxRetryAfterNs())
                        : new Fail(query.submission.id()));
        complete(query);
    }

    private void complete(Query query) {
        query.completed = true;
        queuedQueries.remove(query);
        if (query.engine == null) {
            queries.remove(query.submission.id());
            ArrayDeque<Query> sameKeyQueries =
                    query.submission.key() == null
                            ? null
                            : queriesByKey.get(query.submission.key());
            if (sameKeyQueries != null
                    && sameKeyQueries.remove(query)
                    && sameKeyQueries.isEmpty()) {
                queriesByKey.remove(query.submission.key());
            }
        }
    }

    private void updateEndpoints(EndpointsChanged endpointsChanged) {
        if (endpointsChanged.kind() == EndpointListKind.SNAPSHOT
                || endpointsChanged.kind() == EndpointListKind.CACHED) {
            engines.clear();
        }
        endpointsChanged.endpoints().forEach(endpoint -> engines.put(endpoint.engine(), endpoint));
    }
}
