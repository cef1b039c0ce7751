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

    private static final long MS = 1_000_000L;
    private static final long TICK_NS = 50 * MS;
    private static final long ANSWER_NS = 60 * MS;
    private static final long CUT_NS = 10 * MS;
    private static final int MOST_A_CORE = 2;

    private static final class Query {
        QuerySubmitted request;
        QueryClass cls;
        int attempts;
        boolean mayHaveRun;
        boolean over;
        String out;
    }

    private final Policy policy;
    private final Settings settings;
    private final Map<String, QueryClass> classes = new HashMap<>();
    private final Map<String, Endpoint> engines = new LinkedHashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final ArrayDeque<Query> held = new ArrayDeque<>();
    private final Map<String, ArrayDeque<Query>> lines = new HashMap<>();
    private List<Action> out = new ArrayList<>();
    private int turn;
    private boolean ticking;
    private long now;

    /** Creates the workload manager of one router. */
    public Baseline(Policy policy, Settings settings) {
        this.policy = policy;
        this.settings = settings;
        settings.classes().forEach(queryClass -> classes.put(queryClass.name(), queryClass));
    }

    @Override
    public List<Action> onEvent(Event event, long nowNs) {
        out = new ArrayList<>();
        now = nowNs;
        if (!ticking) {
            ticking = true;
            out.add(new SetTimer(1, now + TICK_NS));
        }
        if (event instanceof QuerySubmitted querySubmitted) {
            take(querySubmitted);
        } else if (event instanceof AttemptEnded attemptEnded) {
            ended(attemptEnded);
        } else if (event instanceof ClientDisconnected clientDisconnected
                && queries.containsKey(clientDisconnected.id())) {
            over(queries.get(clientDisconnected.id()));
        } else if (event instanceof EndpointsChanged endpointsChanged) {
            list(endpointsChanged);
        } else if (event instanceof TimerFired) {
            out.add(new SetTimer(1, now + TICK_NS));
            for (Query query : List.copyOf(held)) {
                if (now + ANSWER_NS >= query.request.deadlineNs()) {
                    answer(query);
                }
            }
        }
        release();
        return out;
    }

    private void take(QuerySubmitted querySubmitted) {
        Query query = new Query();
        query.request = querySubmitted;
        query.cls = classes.get(querySubmitted.queryClass());
        if (query.cls == null) {
            out.add(new Reject(querySubmitted.id(), 0));
            return;
        }
        queries.put(querySubmitted.id(), query);
        held.add(query);
        if (query.cls.ordered() && querySubmitted.key() != null) {
            lines.computeIfAbsent(querySubmitted.key(), text -> new ArrayDeque<>()).add(query);
        }
    }

    private void release() {
        for (Query query : List.copyOf(held)) {
            ArrayDeque<Query> line =
                    query.request.key() == null ? null : lines.get(query.request.key());
            String engine = line != null && line.peek() != query ? null : choose(query.cls);
            if (engine != null) {
                held.remove(query);
                query.out = engine;
                query.attempts++;
                running.merge(engine, query.cls.threads(), Integer::sum);
                out.add(
                        new StartAttempt(
                                query.request.id(),
                                engine,
                                Math.max(MS, query.request.deadlineNs() - now - CUT_NS)));
            }
        }
    }

    private String choose(QueryClass queryClass) {
        List<String> open = new ArrayList<>();
        for (Endpoint endpoint : engines.values()) {
            boolean allowed =
                    endpoint.state() == EndpointState.READY
                            && (queryClass.engineKinds().isEmpty()
                                    || queryClass.engineKinds().contains(endpoint.kind()))
                            && (queryClass.zones().isEmpty()
                                    || queryClass.zones().contains(endpoint.zone()));
            if (allowed
                    && (policy == Policy.ROUND_ROBIN
                            || running.getOrDefault(endpoint.engine(), 0) < most(endpoint))) {
                open.add(endpoint.engine());
            }
        }
        if (open.isEmpty()) {
            return null;
        }
        if (policy == Policy.ROUND_ROBIN) {
            return open.get(Math.floorMod(turn++, open.size()));
        }
        return open.stream()
                .min(java.util.Comparator.comparingInt(text -> running.getOrDefault(text, 0)))
                .orElseThrow();
    }

    private int most(Endpoint endpoint) {
        int cores =
                settings.kinds().stream()
                        .filter(engineKind -> engineKind.name().equals(endpoint.kind()))
                        .mapToInt(EngineKind::cores)
                        .findFirst()
                        .orElse(1);
        return Math.max(1, MOST_A_CORE * cores / settings.routerCount());
    }

    private void ended(AttemptEnded attemptEnded) {
        Query query = queries.get(attemptEnded.id());
        if (query == null || query.out == null) {
            return;
        }
        running.merge(query.out, -query.cls.threads(), Integer::sum);
        query.out = null;
        query.mayHaveRun |= attemptEnded.outcome().mayHaveRun();
        if (attemptEnded.clientAnswered() || query.over) {
            over(query);
        } else if ((!query.mayHaveRun || query.cls.retrySafety() == RetrySafety.IDEMPOTENT)
                && query.attempts < settings.capabilities().maxAttempts()
                && now + ANSWER_NS < query.request.deadlineNs()) {
            held.addLast(query);
        } else {
            answer(query);
        }
    }

    private void answer(Query query) {
        boolean harmless = !query.mayHaveRun || query.cls.retrySafety() == RetrySafety.IDEMPOTENT;
        out.add(
                harmless
                        ? new Reject(query.request.id(), settings.capabilities().maxRetryAfterNs())
                        : new Fail(query.request.id()));
        over(query);
    }

    private void over(Query query) {
        query.over = true;
        held.remove(query);
        if (query.out == null) {
            queries.remove(query.request.id());
            ArrayDeque<Query> line =
                    query.request.key() == null ? null : lines.get(query.request.key());
            if (line != null && line.remove(query) && line.isEmpty()) {
                lines.remove(query.request.key());
            }
        }
    }

    private void list(EndpointsChanged endpointsChanged) {
        if (endpointsChanged.kind() == EndpointListKind.SNAPSHOT
                || endpointsChanged.kind() == EndpointListKind.CACHED) {
            engines.clear();
        }
        endpointsChanged.endpoints().forEach(endpoint -> engines.put(endpoint.engine(), endpoint));
    }
}
