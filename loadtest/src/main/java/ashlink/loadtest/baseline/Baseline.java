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
 * A plain balancer: queries wait in turn until the policy names an engine. It repeats what its
 * class allows up to the limit of attempts and answers what is out of time; it knows no health, no
 * worth and no cold engines.
 */
public final class Baseline implements WorkloadManager {

    /** Policies. */
    public enum Policy {
        /** Each engine in its turn, at once. */
        ROUND_ROBIN,
        /** The engine with fewest of ours out, and at most a fixed number there. */
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

    /** A gateway of that policy. */
    public Baseline(Policy policy, Settings settings) {
        this.policy = policy;
        this.settings = settings;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    @Override
    public List<Action> onEvent(Event event, long nowNs) {
        out = new ArrayList<>();
        now = nowNs;
        if (!ticking) {
            ticking = true;
            out.add(new SetTimer(1, now + TICK_NS));
        }
        if (event instanceof QuerySubmitted r) {
            take(r);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof ClientDisconnected g && queries.containsKey(g.id())) {
            over(queries.get(g.id()));
        } else if (event instanceof EndpointsChanged n) {
            list(n);
        } else if (event instanceof TimerFired) {
            out.add(new SetTimer(1, now + TICK_NS));
            for (Query q : List.copyOf(held)) {
                if (now + ANSWER_NS >= q.request.deadlineNs()) {
                    answer(q);
                }
            }
        }
        release();
        return out;
    }

    private void take(QuerySubmitted r) {
        Query q = new Query();
        q.request = r;
        q.cls = classes.get(r.queryClass());
        if (q.cls == null) {
            out.add(new Reject(r.id(), 0));
            return;
        }
        queries.put(r.id(), q);
        held.add(q);
        if (q.cls.ordered() && r.key() != null) {
            lines.computeIfAbsent(r.key(), k -> new ArrayDeque<>()).add(q);
        }
    }

    private void release() {
        for (Query q : List.copyOf(held)) {
            ArrayDeque<Query> line = q.request.key() == null ? null : lines.get(q.request.key());
            String engine = line != null && line.peek() != q ? null : choose(q.cls);
            if (engine != null) {
                held.remove(q);
                q.out = engine;
                q.attempts++;
                running.merge(engine, q.cls.threads(), Integer::sum);
                out.add(
                        new StartAttempt(
                                q.request.id(),
                                engine,
                                Math.max(MS, q.request.deadlineNs() - now - CUT_NS)));
            }
        }
    }

    private String choose(QueryClass c) {
        List<String> open = new ArrayList<>();
        for (Endpoint e : engines.values()) {
            boolean allowed =
                    e.state() == EndpointState.READY
                            && (c.engineKinds().isEmpty() || c.engineKinds().contains(e.kind()))
                            && (c.zones().isEmpty() || c.zones().contains(e.zone()));
            if (allowed
                    && (policy == Policy.ROUND_ROBIN
                            || running.getOrDefault(e.engine(), 0) < most(e))) {
                open.add(e.engine());
            }
        }
        if (open.isEmpty()) {
            return null;
        }
        if (policy == Policy.ROUND_ROBIN) {
            return open.get(Math.floorMod(turn++, open.size()));
        }
        return open.stream()
                .min(java.util.Comparator.comparingInt(e -> running.getOrDefault(e, 0)))
                .orElseThrow();
    }

    private int most(Endpoint e) {
        int cores =
                settings.kinds().stream()
                        .filter(k -> k.name().equals(e.kind()))
                        .mapToInt(EngineKind::cores)
                        .findFirst()
                        .orElse(1);
        return Math.max(1, MOST_A_CORE * cores / settings.routerCount());
    }

    private void ended(AttemptEnded e) {
        Query q = queries.get(e.id());
        if (q == null || q.out == null) {
            return;
        }
        running.merge(q.out, -q.cls.threads(), Integer::sum);
        q.out = null;
        q.mayHaveRun |= e.outcome().mayHaveRun();
        if (e.clientAnswered() || q.over) {
            over(q);
        } else if ((!q.mayHaveRun || q.cls.retrySafety() == RetrySafety.IDEMPOTENT)
                && q.attempts < settings.capabilities().maxAttempts()
                && now + ANSWER_NS < q.request.deadlineNs()) {
            held.addLast(q);
        } else {
            answer(q);
        }
    }

    private void answer(Query q) {
        boolean harmless = !q.mayHaveRun || q.cls.retrySafety() == RetrySafety.IDEMPOTENT;
        out.add(
                harmless
                        ? new Reject(q.request.id(), settings.capabilities().maxRetryAfterNs())
                        : new Fail(q.request.id()));
        over(q);
    }

    private void over(Query q) {
        q.over = true;
        held.remove(q);
        if (q.out == null) {
            queries.remove(q.request.id());
            ArrayDeque<Query> line = q.request.key() == null ? null : lines.get(q.request.key());
            if (line != null && line.remove(q) && line.isEmpty()) {
                lines.remove(q.request.key());
            }
        }
    }

    private void list(EndpointsChanged n) {
        if (n.kind() == EndpointListKind.SNAPSHOT || n.kind() == EndpointListKind.CACHED) {
            engines.clear();
        }
        n.endpoints().forEach(e -> engines.put(e.engine(), e));
    }
}
