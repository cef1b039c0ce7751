package ashlink.decisions;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * A router for tests. Delivers events to a workload manager at a time set by the test, answers its
 * health checks with the load report set for the engine, and records its actions.
 */
final class RouterHarness {

    static final long MS = 1_000_000L;
    static final Capabilities CAPABILITIES =
            new Capabilities(
                    true,
                    true,
                    4,
                    500 * MS,
                    true,
                    true,
                    0.4,
                    true,
                    1_000 * MS,
                    false,
                    false,
                    false);
    static final LoadReport OVERLOADED = new LoadReport(1, 1, 1, 1);
    static final LoadReport HALF_BUSY = new LoadReport(0, 0.5, 0.5, Double.NaN);
    static final PolicyLimits LIMITS =
            new PolicyLimits(1_000 * MS, 0.3, 10_000 * MS, 3, 2_000 * MS, 300 * MS, 0, 0, 0);

    final WorkloadManager workloadManager;
    final List<Action> actions = new ArrayList<>();

    /** Load reports by engine; an engine without an entry reports {@link #HALF_BUSY}. */
    final Map<String, LoadReport> loadReports = new HashMap<>();

    /** Engines that do not answer health checks. */
    final Set<String> enginesWithoutHealthCheckResults = new HashSet<>();

    /** Attempts in flight, by query. */
    final Map<Long, StartAttempt> inFlight = new LinkedHashMap<>();

    long nowNs = 100_000 * MS;
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final PriorityQueue<SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingLong(SetTimer::timeNs));

    RouterHarness(Settings settings) {
        workloadManager = new DefaultWorkloadManager(settings);
    }

    static QueryClass shortClass(String name) {
        return new QueryClass(
                name,
                500 * MS,
                1,
                3_000 * MS,
                RetrySafety.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                1,
                0.1,
                false,
                Set.of(),
                Set.of(),
                1,
                false,
                false);
    }

    static QueryClass reportClass(Set<String> kinds, Set<String> zones) {
        return new QueryClass(
                "report",
                5_000 * MS,
                1,
                20_000 * MS,
                RetrySafety.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                8,
                0.4,
                false,
                kinds,
                zones,
                2,
                false,
                true);
    }

    static QueryClass loadClass(
            RetrySafety retrySafety, DeduplicationScope deduplicationScope, boolean ordered) {
        return new QueryClass(
                "load",
                5_000 * MS,
                1,
                20_000 * MS,
                retrySafety,
                deduplicationScope,
                2_000 * MS,
                7,
                0.5,
                ordered,
                Set.of(),
                Set.of(),
                2,
                true,
                false);
    }

    static Settings settings(
            int routers, Capabilities capabilities, PolicyLimits limits, QueryClass... classes) {
        return new Settings(
                7,
                routers,
                0,
                "z1",
                List.of(classes),
                List.of(new EngineKind("big", 4, 8_000), new EngineKind("small", 4, 8_000)),
                capabilities,
                limits);
    }

    static RouterHarness withClasses(QueryClass... classes) {
        return new RouterHarness(settings(1, CAPABILITIES, LIMITS, classes));
    }

    /** Creates the only router of a fleet, with a class of reports and a class of lookups. */
    static RouterHarness withReportsAndLookups(String... engines) {
        return withClasses(reportClass(Set.of(), Set.of()), shortClass("lookup"))
                .withEngines(engines);
    }

    static Endpoint endpoint(
            String engine, String zone, String kind, EndpointState state, long startedNs) {
        return new Endpoint(engine, state, zone, kind, zone.hashCode(), startedNs);
    }

    static Endpoint readyEndpoint(String engine) {
        return endpoint(engine, "z1", "big", EndpointState.READY, 0);
    }

    RouterHarness changeEndpoints(EndpointListKind kind, Endpoint... endpoints) {
        deliver(new EndpointsChanged(kind, Arrays.asList(endpoints)));
        return this;
    }

    RouterHarness withEngines(String... names) {
        return changeEndpoints(
                EndpointListKind.SNAPSHOT,
                Arrays.stream(names).map(RouterHarness::readyEndpoint).toArray(Endpoint[]::new));
    }

    /** Delivers load reports of overload from the engines. */
    void reportOverload(String... engines) {
        for (String engine : engines) {
            loadReports.put(engine, OVERLOADED);
            deliver(new HealthCheckCompleted(engine, Outcome.SERVED, MS, OVERLOADED));
        }
    }

    List<Action> deliver(Event event) {
        if (event instanceof AttemptEnded attemptEnded) {
            inFlight.remove(attemptEnded.id());
        }
        List<Action> newActions = workloadManager.onEvent(event, nowNs);
        actions.addAll(newActions);
        List<Action> all = new ArrayList<>(newActions);
        for (Action action : newActions) {
            if (action instanceof SetTimer timer) {
                timers.add(timer);
            } else if (action instanceof StartAttempt startAttempt) {
                inFlight.put(startAttempt.id(), startAttempt);
                attemptCounts.merge(startAttempt.id(), 1, Integer::sum);
            } else if (action instanceof CheckHealth checkHealth
                    && !enginesWithoutHealthCheckResults.contains(checkHealth.engine())) {
                all.addAll(
                        deliver(
                                new HealthCheckCompleted(
                                        checkHealth.engine(),
                                        Outcome.SERVED,
                                        MS,
                                        loadReports.getOrDefault(
                                                checkHealth.engine(), HALF_BUSY))));
            }
        }
        return all;
    }

    List<Action> submit(long id, String queryClass, String key, long workMs) {
        return submit(id, queryClass, key, 1, workMs, 20_000);
    }

    List<Action> submit(
            long id, String queryClass, String key, long tableGroup, long workMs, long timeoutMs) {
        return deliver(
                new QuerySubmitted(
                        id, queryClass, key, tableGroup, nowNs + timeoutMs * MS, workMs * MS, 100));
    }

    List<Action> endAttempt(long id, int attempt, String engine, Outcome outcome, long durationMs) {
        return endAttempt(id, attempt, engine, outcome, durationMs, LoadReport.NONE);
    }

    List<Action> endAttempt(
            long id,
            int attempt,
            String engine,
            Outcome outcome,
            long durationMs,
            LoadReport report) {
        return deliver(
                new AttemptEnded(
                        id,
                        attempt,
                        engine,
                        outcome,
                        durationMs * MS,
                        outcome == Outcome.SERVED,
                        0,
                        0,
                        report));
    }

    /**
     * Ends the oldest attempts in flight as served.
     *
     * @param maxCount maximum number of attempts to end
     * @param durationMs duration of each attempt
     */
    void serveOldest(int maxCount, long durationMs) {
        for (StartAttempt startAttempt :
                List.copyOf(inFlight.values()).subList(0, Math.min(maxCount, inFlight.size()))) {
            endAttempt(
                    startAttempt.id(),
                    attemptCounts.get(startAttempt.id()) - 1,
                    startAttempt.engine(),
                    Outcome.SERVED,
                    durationMs);
        }
    }

    /** Advances the time, fires the timers that are due, and returns the resulting actions. */
    List<Action> advanceMs(long ms) {
        int firstNewAction = actions.size();
        long untilNs = nowNs + ms * MS;
        while (!timers.isEmpty() && timers.peek().timeNs() <= untilNs) {
            SetTimer dueTimer = timers.poll();
            nowNs = dueTimer.timeNs();
            deliver(new TimerFired(dueTimer.label()));
        }
        nowNs = untilNs;
        return List.copyOf(actions.subList(firstNewAction, actions.size()));
    }

    static <T extends Action> List<T> ofType(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<StartAttempt> startedAttempts() {
        return ofType(StartAttempt.class, actions);
    }

    static List<String> enginesOf(List<Action> actions) {
        return ofType(StartAttempt.class, actions).stream().map(StartAttempt::engine).toList();
    }
}
