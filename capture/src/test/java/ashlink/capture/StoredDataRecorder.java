package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.log.FolderDisk;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import ashlink.decisions.api.WorkloadManager;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Writes the captures that {@link StoredCaptureTest} reads. {@code kinds} is synthetic and contains
 * each kind of event and action and each enum constant. {@code day} contains two starts with the
 * actions of {@link DefaultWorkloadManager}.
 */
final class StoredDataRecorder {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int STEPS = 150;

    /** Exact binary fraction, so that its multiples are printed identically everywhere. */
    private static final double SIXTY_FOURTH = 1 / 64.0;

    private StoredDataRecorder() {}

    /** Writes both captures and their texts to the directory given as the first argument. */
    public static void main(String[] arguments) throws IOException {
        Path directory = Path.of(arguments[0]);
        write(directory, "kinds", syntheticEntries(), 600);
        List<Entry> entries = new ArrayList<>(new ScriptedRouter(firstSettings(), 1).run());
        entries.addAll(new ScriptedRouter(secondSettings(), 2).run());
        write(directory, "day", entries, 3_000);
    }

    private static void write(Path directory, String name, List<Entry> entries, long segmentBytes)
            throws IOException {
        try (Recorder recorder =
                new Recorder(
                        FolderDisk.writing(directory.resolve(name)),
                        1_700_000_000_000L,
                        segmentBytes,
                        1L << 40,
                        1 << 20,
                        MS,
                        5 * MS,
                        key -> "hidden-" + key)) {
            entries.forEach(recorder::record);
        }
        List<Entry> read = new ArrayList<>();
        new CaptureReader(FolderDisk.reading(directory.resolve(name))).read(read::add);
        Files.writeString(directory.resolve(name + ".txt"), EntryText.of(read));
    }

    // Settings

    private static Set<String> orderedSet(String... elements) {
        return new LinkedHashSet<>(List.of(elements));
    }

    private static QueryClass lookClass() {
        return new QueryClass(
                "look",
                500 * MS,
                1.5,
                2500 * MS,
                RetrySafety.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                1,
                0.125,
                false,
                Set.of(),
                Set.of(),
                1,
                false,
                true);
    }

    private static QueryClass loadClass() {
        return new QueryClass(
                "load",
                3 * SECOND,
                3,
                25 * SECOND,
                RetrySafety.AT_MOST_ONCE,
                DeduplicationScope.CELL,
                0,
                10,
                0.5,
                true,
                orderedSet("a", "b"),
                Set.of(),
                2,
                true,
                false);
    }

    private static QueryClass upsertClass() {
        return new QueryClass(
                "upsert",
                SECOND,
                2.25,
                9 * SECOND,
                RetrySafety.DEDUPLICATED,
                DeduplicationScope.ZONE,
                60 * SECOND,
                4,
                0.25,
                false,
                orderedSet("b"),
                orderedSet("z", "y"),
                4,
                false,
                false);
    }

    private static Settings firstSettings() {
        return new Settings(
                7,
                3,
                1,
                "z",
                List.of(lookClass(), loadClass()),
                List.of(new EngineKind("a", 8, 16384)),
                new Capabilities(
                        true, true, 4, 500 * MS, true, true, 0.5, true, 100 * MS, false, true,
                        false),
                new PolicyLimits(
                        2 * SECOND,
                        0.375,
                        14 * SECOND,
                        2.5,
                        3 * SECOND,
                        300 * MS,
                        3,
                        0.125,
                        10 * SECOND),
                List.of(new Tenant("t", 5), new Tenant("mañana", 0)),
                0.125);
    }

    private static Settings secondSettings() {
        return new Settings(
                -9_000_000_000L,
                1,
                0,
                "y",
                List.of(upsertClass(), lookClass(), loadClass()),
                List.of(new EngineKind("a", 8, 16384), new EngineKind("b", 64, 262144.5)),
                new Capabilities(false, false, 2, 0, false, false, 0, false, 0, true, false, true),
                new PolicyLimits(0, 0, 0, 0, 0, 0, 0, 0, 0),
                List.of(),
                1);
    }

    // Synthetic capture

    private static List<Entry> syntheticEntries() {
        List<Entry> entries = new ArrayList<>();
        entries.add(new Entry.Start("0123456789abcdef", firstSettings(), "r1"));
        long nowNs = 5_000 * SECOND;
        for (Event event : events()) {
            nowNs += 1_234_567;
            entries.add(new Entry.Step(event, nowNs, List.of()));
        }
        entries.add(new Entry.Gap(7));
        for (Action action : actions()) {
            nowNs += 89 * SECOND;
            entries.add(new Entry.Step(new TimerFired(nowNs), nowNs, List.of(action)));
        }
        entries.add(new Entry.Start("fedcba9876543210", secondSettings(), "router-two"));
        entries.add(new Entry.Step(new TimerFired(-1), 3, actions()));
        return entries;
    }

    private static List<Event> events() {
        List<Event> events = new ArrayList<>();
        events.add(new QuerySubmitted(1, "look", null, 0, 5_002 * SECOND, 0, 0, ""));
        events.add(
                new QuerySubmitted(
                        2, "load", "customer-1", 511, 5_025 * SECOND, 80 * MS, 100.5, "t"));
        events.add(new QuerySubmitted(3, "load", "customer-1", -1, 1, 1L << 50, 1e12, "mañana"));
        for (Outcome outcome : Outcome.values()) {
            int ordinal = outcome.ordinal();
            events.add(
                    new AttemptEnded(
                            2,
                            ordinal,
                            "q" + ordinal,
                            outcome,
                            1L << ordinal,
                            ordinal % 2 == 0,
                            120.5 + ordinal,
                            64 * ordinal,
                            new LoadReport(ordinal, 0.5, 0.25, Double.NaN, 3)));
            events.add(
                    new HealthCheckCompleted("q" + ordinal, outcome, 7 + ordinal, LoadReport.NONE));
        }
        for (EndpointListKind kind : EndpointListKind.values()) {
            events.add(new EndpointsChanged(kind, endpoints(kind.ordinal())));
        }
        for (ProgressKind kind : ProgressKind.values()) {
            events.add(new AttemptProgress(3, kind.ordinal(), "q1", kind, -0.75 + kind.ordinal()));
        }
        events.add(new ClientDisconnected(3));
        return events;
    }

    private static List<Endpoint> endpoints(int count) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String zone = i == 0 ? "z" : "y";
            endpoints.add(
                    new Endpoint("q" + i, EndpointState.values()[i], zone, "a", i, i * SECOND));
        }
        return endpoints;
    }

    private static List<Action> actions() {
        return List.of(
                new StartAttempt(2, "q1", 900 * MS),
                new SetAttemptResources(2, -5, 4096),
                new Reject(3, 250 * MS),
                new Fail(1),
                new CancelAttempt(2, 3),
                new CheckHealth("q9"),
                new SetTimer(77, 1_000 * SECOND),
                new WatchEndpoints(),
                new Log("engine q1 refuses, Größe 5"));
    }

    /** Runs a decision module against simulated engines with random outcomes. */
    private static final class ScriptedRouter {
        private final Settings settings;
        private final SplittableRandom random;
        private final WorkloadManager module;
        private final List<Entry> entries = new ArrayList<>();
        private final List<Event> pending = new ArrayList<>();
        private final List<StartAttempt> inFlight = new ArrayList<>();
        private final Map<Long, Integer> attemptCounts = new HashMap<>();
        private final PriorityQueue<SetTimer> timers =
                new PriorityQueue<>(Comparator.comparingLong(SetTimer::timeNs));
        private long nowNs = 1_000 * SECOND;
        private long lastQueryId;

        ScriptedRouter(Settings settings, long seed) {
            this.settings = settings;
            this.random = new SplittableRandom(seed);
            this.module = new DefaultWorkloadManager(settings);
        }

        List<Entry> run() {
            entries.add(
                    new Entry.Start(ModuleHash.of(DefaultWorkloadManager.class), settings, "r1"));
            pending.add(endpointsChanged(EndpointListKind.CACHED, EndpointState.READY));
            pending.add(endpointsChanged(EndpointListKind.SNAPSHOT, EndpointState.READY));
            while (entries.size() <= STEPS) {
                nowNs += random.nextInt(9_000_000);
                step(nextEvent());
            }
            return entries;
        }

        private static EndpointsChanged endpointsChanged(
                EndpointListKind kind, EndpointState secondState) {
            return new EndpointsChanged(
                    kind,
                    List.of(
                            new Endpoint("q1", EndpointState.READY, "z", "a", 0, 0),
                            new Endpoint("q2", secondState, "y", "a", 1, 990 * SECOND)));
        }

        private void step(Event event) {
            List<Action> actions = module.onEvent(event, nowNs);
            entries.add(new Entry.Step(event, nowNs, List.copyOf(actions)));
            for (Action action : actions) {
                if (action instanceof StartAttempt start) {
                    inFlight.add(start);
                    attemptCounts.merge(start.id(), 1, Integer::sum);
                } else if (action instanceof SetTimer timer) {
                    timers.add(timer);
                } else if (action instanceof CheckHealth check) {
                    pending.add(
                            new HealthCheckCompleted(
                                    check.engine(),
                                    Outcome.SERVED,
                                    1_000,
                                    new LoadReport(0, 0.5, 0.25, Double.NaN, 2)));
                }
            }
        }

        private Event nextEvent() {
            if (!pending.isEmpty()) {
                return pending.remove(0);
            } else if (!timers.isEmpty() && timers.peek().timeNs() <= nowNs) {
                return new TimerFired(timers.poll().label());
            } else if (entries.size() % 40 == 0) {
                EndpointState secondState =
                        entries.size() % 80 == 0 ? EndpointState.READY : EndpointState.DRAINING;
                return endpointsChanged(EndpointListKind.DELTA, secondState);
            } else if (!inFlight.isEmpty() && random.nextInt(2) == 0) {
                return attemptEvent(inFlight.get(random.nextInt(inFlight.size())));
            }
            return submitQuery();
        }

        private Event attemptEvent(StartAttempt start) {
            int attempt = attemptCounts.get(start.id()) - 1;
            int choice = random.nextInt(8);
            if (choice == 0) {
                return new AttemptProgress(
                        start.id(), attempt, start.engine(), ProgressKind.FRACTION_DONE, 0.25);
            }
            inFlight.remove(start);
            if (choice == 1) {
                return new ClientDisconnected(start.id());
            }
            Outcome[] outcomes = Outcome.values();
            Outcome outcome =
                    choice < 6 ? Outcome.SERVED : outcomes[random.nextInt(outcomes.length)];
            return new AttemptEnded(
                    start.id(),
                    attempt,
                    start.engine(),
                    outcome,
                    random.nextInt(1 << 28),
                    outcome == Outcome.SERVED,
                    random.nextInt(9_000) * SIXTY_FOURTH,
                    64,
                    new LoadReport(
                            random.nextInt(3),
                            Double.NaN,
                            random.nextInt(65) * SIXTY_FOURTH,
                            Double.NaN));
        }

        private QuerySubmitted submitQuery() {
            QueryClass queryClass =
                    settings.classes().get(random.nextInt(settings.classes().size()));
            String key = queryClass.ordered() ? "customer-" + random.nextInt(3) : null;
            return new QuerySubmitted(
                    ++lastQueryId,
                    queryClass.name(),
                    key,
                    random.nextInt(9),
                    nowNs + queryClass.deadlineNs(),
                    random.nextInt(2) * 80 * MS,
                    100,
                    random.nextInt(2) == 0 ? "t" : "");
        }
    }
}
