package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.decisions.DefaultWorkloadManager;
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
import ashlink.decisions.api.Tenant;
import ashlink.decisions.api.WorkloadManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** Records the events and actions of a decision module with simulated clients and engines. */
final class ScriptedModule {

    private static final long MS = 1_000_000L;
    private static final Settings SETTINGS =
            new Settings(
                    7,
                    3,
                    1,
                    "z",
                    List.of(
                            new QueryClass(
                                    "look",
                                    500 * MS,
                                    1.5,
                                    2500 * MS,
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
                                    true),
                            new QueryClass(
                                    "load",
                                    3000 * MS,
                                    3,
                                    25_000 * MS,
                                    RetrySafety.AT_MOST_ONCE,
                                    DeduplicationScope.ALL,
                                    0,
                                    10,
                                    0.5,
                                    true,
                                    Set.of("a"),
                                    Set.of(),
                                    2,
                                    true,
                                    false)),
                    List.of(new EngineKind("a", 8, 16384)),
                    new Capabilities(
                            true, true, 4, 500 * MS, true, true, 0.4, true, 0, false, true, false),
                    new PolicyLimits(
                            2000 * MS,
                            0.35,
                            14_000 * MS,
                            2.5,
                            3000 * MS,
                            300 * MS,
                            3,
                            0.1,
                            10_000 * MS),
                    List.of(new Tenant("t", 5)),
                    0.1);

    private final WorkloadManager module = new DefaultWorkloadManager(SETTINGS);
    private final SplittableRandom random;
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingLong(SetTimer::timeNs));
    private final List<StartAttempt> inFlight = new ArrayList<>();
    private final Map<Long, Integer> attemptNumbers = new HashMap<>();
    private final List<Event> pending = new ArrayList<>();
    private long nowNs = 1_000_000 * MS;
    private long lastQueryId;

    private ScriptedModule(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns a start and the steps after it, {@code count} entries in total. */
    static List<Entry> record(long seed, int count) {
        ScriptedModule script = new ScriptedModule(seed);
        script.entries.add(
                new Entry.Start(ModuleHash.of(DefaultWorkloadManager.class), SETTINGS, "r1"));
        script.pending.add(initialEndpoints());
        while (script.entries.size() < count) {
            script.step();
        }
        return script.entries;
    }

    private static EndpointsChanged initialEndpoints() {
        return new EndpointsChanged(
                EndpointListKind.SNAPSHOT,
                List.of(
                        new Endpoint("q1", EndpointState.READY, "z", "a", 0, 0),
                        new Endpoint("q2", EndpointState.READY, "z", "a", 1, 990_000 * MS)));
    }

    private void step() {
        nowNs += random.nextInt(5_000_000);
        Event event = nextEvent();
        List<Action> actions = module.onEvent(event, nowNs);
        entries.add(new Entry.Step(event, nowNs, List.copyOf(actions)));
        actions.forEach(this::apply);
    }

    private Event nextEvent() {
        if (!pending.isEmpty()) {
            return pending.remove(0);
        }
        if (!timers.isEmpty() && timers.peek().timeNs() <= nowNs) {
            return new TimerFired(timers.poll().label());
        }
        if (!inFlight.isEmpty() && random.nextInt(3) == 0) {
            return endAttempt(inFlight.remove(random.nextInt(inFlight.size())));
        }
        return submitQuery();
    }

    private AttemptEnded endAttempt(StartAttempt attempt) {
        Outcome[] outcomes = Outcome.values();
        Outcome outcome = outcomes[random.nextInt(4) > 0 ? 0 : random.nextInt(outcomes.length)];
        return new AttemptEnded(
                attempt.id(),
                attemptNumbers.get(attempt.id()),
                attempt.engine(),
                outcome,
                random.nextInt(1 << 30),
                outcome == Outcome.SERVED,
                120.5,
                64,
                new LoadReport(random.nextInt(3), Double.NaN, random.nextDouble(), Double.NaN));
    }

    private QuerySubmitted submitQuery() {
        boolean load = random.nextInt(5) == 0;
        lastQueryId++;
        return new QuerySubmitted(
                lastQueryId,
                load ? "load" : "look",
                load ? "customer-" + random.nextInt(3) : null,
                random.nextInt(9),
                nowNs + 2400 * MS,
                random.nextInt(2) * 80 * MS,
                100,
                "t");
    }

    private void apply(Action action) {
        if (action instanceof StartAttempt start) {
            inFlight.add(start);
            attemptNumbers.merge(start.id(), 1, (attempts, increment) -> attempts + 1);
        } else if (action instanceof SetTimer timer) {
            timers.add(timer);
        } else if (action instanceof CheckHealth check) {
            pending.add(
                    new HealthCheckCompleted(
                            check.engine(),
                            Outcome.SERVED,
                            1000,
                            new LoadReport(0, 0.5, 0.25, Double.NaN)));
        }
    }
}
