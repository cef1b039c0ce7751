package ashlink.capture;

import ashlink.Gateway;
import ashlink.Gateway.Action;
import ashlink.Gateway.Alarm;
import ashlink.Gateway.Allowed;
import ashlink.Gateway.Cancel;
import ashlink.Gateway.ClientGone;
import ashlink.Gateway.Effect;
import ashlink.Gateway.Ended;
import ashlink.Gateway.EngineKind;
import ashlink.Gateway.Event;
import ashlink.Gateway.Fail;
import ashlink.Gateway.Limits;
import ashlink.Gateway.ListEntry;
import ashlink.Gateway.ListForm;
import ashlink.Gateway.ListNews;
import ashlink.Gateway.Log;
import ashlink.Gateway.NoteKind;
import ashlink.Gateway.Outcome;
import ashlink.Gateway.Phase;
import ashlink.Gateway.Probe;
import ashlink.Gateway.Probed;
import ashlink.Gateway.Progress;
import ashlink.Gateway.QueryClass;
import ashlink.Gateway.Refuse;
import ashlink.Gateway.RepeatGroup;
import ashlink.Gateway.Report;
import ashlink.Gateway.Request;
import ashlink.Gateway.Send;
import ashlink.Gateway.SetAlarm;
import ashlink.Gateway.Settings;
import ashlink.Gateway.Subscribe;
import ashlink.Gateway.Tenant;
import ashlink.Gateway.Terms;
import ashlink.Rules;
import ashlink.capture.events.Entry;
import ashlink.capture.log.FolderDisk;
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
 * Writes the captures that {@link StoredCaptureTest} reads: {@code kinds}, made up, with each kind
 * of event and action and each constant, and {@code day}, decided by the rules, of two starts.
 */
final class StoredDataRecorder {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int DAY_STEPS = 150;
    private static final double SIXTY_FOURTH = 1 / 64.0; // such fractions print the same everywhere

    private StoredDataRecorder() {}

    /** Writes both captures and their texts into the folder that is named. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[0]);
        write(folder, "kinds", kinds(), 600);
        List<Entry> days = new ArrayList<>(new Day(tightSettings(), 1).entries());
        days.addAll(new Day(wideSettings(), 2).entries());
        write(folder, "day", days, 3_000);
    }

    private static void write(Path folder, String name, List<Entry> entries, long segmentBytes)
            throws IOException {
        try (Recorder recorder =
                new Recorder(
                        FolderDisk.writing(folder.resolve(name)),
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
        new CaptureReader(FolderDisk.reading(folder.resolve(name))).read(read::add);
        Files.writeString(folder.resolve(name + ".txt"), EntryText.of(read));
    }

    // ---- Settings
    private static Set<String> ordered(String... words) {
        return new LinkedHashSet<>(List.of(words));
    }

    private static QueryClass look() {
        return new QueryClass(
                "look",
                500 * MS,
                1.5,
                2500 * MS,
                Effect.IDEMPOTENT,
                RepeatGroup.ALL,
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

    private static QueryClass load() {
        return new QueryClass(
                "load",
                3 * SECOND,
                3,
                25 * SECOND,
                Effect.AT_MOST_ONCE,
                RepeatGroup.CELL,
                0,
                10,
                0.5,
                true,
                ordered("a", "b"),
                Set.of(),
                2,
                true,
                false);
    }

    private static QueryClass upsert() {
        return new QueryClass(
                "upsert",
                SECOND,
                2.25,
                9 * SECOND,
                Effect.DEDUPLICATED,
                RepeatGroup.ZONE,
                60 * SECOND,
                4,
                0.25,
                false,
                ordered("b"),
                ordered("z", "y"),
                4,
                false,
                false);
    }

    private static Settings tightSettings() {
        return new Settings(
                7,
                3,
                1,
                "z",
                List.of(look(), load()),
                List.of(new EngineKind("a", 8, 16384)),
                new Allowed(
                        true, true, 4, 500 * MS, true, true, 0.5, true, 100 * MS, false, true,
                        false),
                new Limits(
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

    private static Settings wideSettings() {
        return new Settings(
                -9_000_000_000L,
                1,
                0,
                "y",
                List.of(upsert(), look(), load()),
                List.of(new EngineKind("a", 8, 16384), new EngineKind("b", 64, 262144.5)),
                new Allowed(false, false, 2, 0, false, false, 0, false, 0, true, false, true),
                new Limits(0, 0, 0, 0, 0, 0, 0, 0, 0),
                List.of(),
                1);
    }

    // ---- The capture that is made up
    private static List<Entry> kinds() {
        List<Entry> entries = new ArrayList<>();
        entries.add(new Entry.Start("0123456789abcdef", tightSettings(), "r1"));
        long now = 5_000 * SECOND;
        for (Event event : events()) {
            now += 1_234_567;
            entries.add(new Entry.Step(event, now, List.of()));
        }
        entries.add(new Entry.Gap(7));
        for (Action action : actions()) {
            now += 89 * SECOND;
            entries.add(new Entry.Step(new Alarm(now), now, List.of(action)));
        }
        entries.add(new Entry.Start("fedcba9876543210", wideSettings(), "router-two"));
        entries.add(new Entry.Step(new Alarm(-1), 3, actions()));
        return entries;
    }

    private static List<Event> events() {
        List<Event> events = new ArrayList<>();
        events.add(new Request(1, "look", null, 0, 5_002 * SECOND, 0, 0, ""));
        events.add(new Request(2, "load", "customer-1", 511, 5_025 * SECOND, 80 * MS, 100.5, "t"));
        events.add(new Request(3, "load", "customer-1", -1, 1, 1L << 50, 1e12, "mañana"));
        for (Outcome outcome : Outcome.values()) {
            int number = outcome.ordinal();
            events.add(
                    new Ended(
                            2,
                            number,
                            "q" + number,
                            outcome,
                            1L << number,
                            number % 2 == 0,
                            120.5 + number,
                            64 * number,
                            new Report(number, 0.5, 0.25, Double.NaN, 3)));
            events.add(new Probed("q" + number, outcome, 7 + number, Report.NONE));
        }
        for (ListForm form : ListForm.values()) {
            events.add(new ListNews(form, listEntries(form.ordinal())));
        }
        for (NoteKind kind : NoteKind.values()) {
            events.add(new Progress(3, kind.ordinal(), "q1", kind, -0.75 + kind.ordinal()));
        }
        events.add(new ClientGone(3));
        return events;
    }

    private static List<ListEntry> listEntries(int count) {
        List<ListEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String zone = i == 0 ? "z" : "y";
            entries.add(new ListEntry("q" + i, Phase.values()[i], zone, "a", i, i * SECOND));
        }
        return entries;
    }

    private static List<Action> actions() {
        return List.of(
                new Send(2, "q1", 900 * MS),
                new Terms(2, -5, 4096),
                new Refuse(3, 250 * MS),
                new Fail(1),
                new Cancel(2, 3),
                new Probe("q9"),
                new SetAlarm(77, 1_000 * SECOND),
                new Subscribe(),
                new Log("engine q1 refuses, Größe 5"));
    }

    /** A day that the rules decide, against engines that answer by chance. */
    private static final class Day {
        private final Settings settings;
        private final SplittableRandom random;
        private final Gateway gateway;
        private final List<Entry> entries = new ArrayList<>();
        private final List<Event> due = new ArrayList<>();
        private final List<Send> sent = new ArrayList<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final PriorityQueue<SetAlarm> alarms =
                new PriorityQueue<>(Comparator.comparingLong(SetAlarm::timeNs));
        private long nowNs = 1_000 * SECOND;
        private long lastRequest;

        Day(Settings settings, long seed) {
            this.settings = settings;
            this.random = new SplittableRandom(seed);
            this.gateway = new Rules(settings);
        }

        List<Entry> entries() {
            entries.add(new Entry.Start(ModuleHash.of(Rules.class), settings, "r1"));
            due.add(news(ListForm.REMEMBERED, Phase.READY));
            due.add(news(ListForm.WHOLE, Phase.READY));
            while (entries.size() <= DAY_STEPS) {
                nowNs += random.nextInt(9_000_000);
                step(next());
            }
            return entries;
        }

        private static ListNews news(ListForm form, Phase second) {
            return new ListNews(
                    form,
                    List.of(
                            new ListEntry("q1", Phase.READY, "z", "a", 0, 0),
                            new ListEntry("q2", second, "y", "a", 1, 990 * SECOND)));
        }

        private void step(Event event) {
            List<Action> actions = gateway.on(event, nowNs);
            entries.add(new Entry.Step(event, nowNs, List.copyOf(actions)));
            for (Action action : actions) {
                if (action instanceof Send send) {
                    sent.add(send);
                    attempts.merge(send.id(), 1, Integer::sum);
                } else if (action instanceof SetAlarm alarm) {
                    alarms.add(alarm);
                } else if (action instanceof Probe probe) {
                    due.add(
                            new Probed(
                                    probe.engine(),
                                    Outcome.SERVED,
                                    1_000,
                                    new Report(0, 0.5, 0.25, Double.NaN, 2)));
                }
            }
        }

        private Event next() {
            if (!due.isEmpty()) {
                return due.remove(0);
            } else if (!alarms.isEmpty() && alarms.peek().timeNs() <= nowNs) {
                return new Alarm(alarms.poll().label());
            } else if (entries.size() % 40 == 0) {
                Phase second = entries.size() % 80 == 0 ? Phase.READY : Phase.DRAINING;
                return news(ListForm.CHANGES, second);
            } else if (!sent.isEmpty() && random.nextInt(2) == 0) {
                return ofSent(sent.get(random.nextInt(sent.size())));
            }
            return request();
        }

        private Event ofSent(Send send) {
            int attempt = attempts.get(send.id()) - 1;
            int what = random.nextInt(8);
            if (what == 0) {
                return new Progress(send.id(), attempt, send.engine(), NoteKind.SHARE_DONE, 0.25);
            }
            sent.remove(send);
            if (what == 1) {
                return new ClientGone(send.id());
            }
            Outcome[] outcomes = Outcome.values();
            Outcome outcome = what < 6 ? Outcome.SERVED : outcomes[random.nextInt(outcomes.length)];
            return new Ended(
                    send.id(),
                    attempt,
                    send.engine(),
                    outcome,
                    random.nextInt(1 << 28),
                    outcome == Outcome.SERVED,
                    random.nextInt(9_000) * SIXTY_FOURTH,
                    64,
                    new Report(
                            random.nextInt(3),
                            Double.NaN,
                            random.nextInt(65) * SIXTY_FOURTH,
                            Double.NaN));
        }

        private Request request() {
            QueryClass ofClass = settings.classes().get(random.nextInt(settings.classes().size()));
            String key = ofClass.inOrder() ? "customer-" + random.nextInt(3) : null;
            return new Request(
                    ++lastRequest,
                    ofClass.name(),
                    key,
                    random.nextInt(9),
                    nowNs + ofClass.deadlineNs(),
                    random.nextInt(2) * 80 * MS,
                    100,
                    random.nextInt(2) == 0 ? "t" : "");
        }
    }
}
