package ashlink.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.events.Entry;
import ashlink.capture.log.FaultyDisk;
import ashlink.capture.log.FolderDisk;
import ashlink.capture.log.Segment;
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
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CaptureTest {

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

    /** A module at work for some steps, with all that it was told and did. */
    static List<Entry> day(long seed, int steps) {
        List<Entry> entries =
                new ArrayList<>(
                        List.of(
                                new Entry.Start(
                                        ModuleHash.of(DefaultWorkloadManager.class),
                                        SETTINGS,
                                        "r1")));
        WorkloadManager workloadManager = new DefaultWorkloadManager(SETTINGS);
        SplittableRandom random = new SplittableRandom(seed);
        PriorityQueue<SetTimer> alarms =
                new PriorityQueue<>(java.util.Comparator.comparingLong(SetTimer::timeNs));
        List<StartAttempt> out = new ArrayList<>();
        List<Event> due =
                new ArrayList<>(
                        List.of(
                                new EndpointsChanged(
                                        EndpointListKind.SNAPSHOT,
                                        List.of(
                                                new Endpoint(
                                                        "q1", EndpointState.READY, "z", "a", 0, 0),
                                                new Endpoint(
                                                        "q2",
                                                        EndpointState.READY,
                                                        "z",
                                                        "a",
                                                        1,
                                                        990_000 * MS)))));
        long now = 1_000_000 * MS;
        long id = 0;
        java.util.Map<Long, Integer> shots = new java.util.HashMap<>();
        while (entries.size() < steps) {
            now += random.nextInt(5_000_000);
            Event event;
            if (!due.isEmpty()) {
                event = due.remove(0);
            } else if (!alarms.isEmpty() && alarms.peek().timeNs() <= now) {
                event = new TimerFired(alarms.poll().label());
            } else if (!out.isEmpty() && random.nextInt(3) == 0) {
                StartAttempt startAttempt = out.remove(random.nextInt(out.size()));
                Outcome outcome =
                        Outcome.values()[
                                random.nextInt(4) > 0
                                        ? 0
                                        : random.nextInt(Outcome.values().length)];
                event =
                        new AttemptEnded(
                                startAttempt.id(),
                                shots.get(startAttempt.id()),
                                startAttempt.engine(),
                                outcome,
                                random.nextInt(1 << 30),
                                outcome == Outcome.SERVED,
                                120.5,
                                64,
                                new LoadReport(
                                        random.nextInt(3),
                                        Double.NaN,
                                        random.nextDouble(),
                                        Double.NaN));
            } else {
                boolean load = random.nextInt(5) == 0;
                event =
                        new QuerySubmitted(
                                ++id,
                                load ? "load" : "look",
                                load ? "customer-" + random.nextInt(3) : null,
                                random.nextInt(9),
                                now + 2400 * MS,
                                random.nextInt(2) * 80 * MS,
                                100,
                                "t");
            }
            List<Action> actions = workloadManager.onEvent(event, now);
            entries.add(new Entry.Step(event, now, List.copyOf(actions)));
            for (Action action : actions) {
                if (action instanceof StartAttempt startAttempt) {
                    out.add(startAttempt);
                    shots.merge(startAttempt.id(), 1, (x, y) -> x + 1);
                } else if (action instanceof SetTimer setTimer) {
                    alarms.add(setTimer);
                } else if (action instanceof CheckHealth checkHealth) {
                    due.add(
                            new HealthCheckCompleted(
                                    checkHealth.engine(),
                                    Outcome.SERVED,
                                    1000,
                                    new LoadReport(0, 0.5, 0.25, Double.NaN)));
                }
            }
        }
        return entries;
    }

    private static Recorder recorder(ashlink.capture.log.Disk disk, int queue, long segment) {
        return new Recorder(
                disk, 42, segment, 1L << 40, queue, MS, 5 * MS, text -> "h" + text.hashCode());
    }

    private static FaultyDisk written(List<Entry> entries, long segment) throws IOException {
        FaultyDisk disk = new FaultyDisk();
        try (Recorder r = recorder(disk, 1 << 20, segment)) {
            entries.forEach(r::record);
        }
        return disk;
    }

    private static List<Entry> read(ashlink.capture.log.Disk disk) throws IOException {
        List<Entry> entries = new ArrayList<>();
        new CaptureReader(disk).read(entries::add);
        return entries;
    }

    @Test
    void aCaptureIsDecidedAgainExactlyAlsoManyAtOnceAndInFewBytes() throws Exception {
        List<Entry> day = day(1, 20_000);
        FaultyDisk disk = written(day, 64 << 10);
        assertTrue(disk.list().size() > 3);
        long bytes = 0;
        for (String text : disk.list()) {
            bytes += disk.size(text);
        }
        assertTrue(bytes / day.size() < 60, bytes / day.size() + " bytes an entry");
        List<Long> differing =
                IntStream.range(0, 8)
                        .parallel()
                        .mapToObj(
                                i -> {
                                    Replay replay =
                                            new Replay(
                                                    DefaultWorkloadManager::new,
                                                    ModuleHash.of(DefaultWorkloadManager.class));
                                    try {
                                        new CaptureReader(disk).read(replay);
                                    } catch (IOException e) {
                                        throw new IllegalStateException(e);
                                    }
                                    assertEquals(day.size() - 1, replay.decided());
                                    assertFalse(replay.hashesDiffer());
                                    return replay.differing();
                                })
                        .toList();
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L, 0L, 0L, 0L), differing);
    }

    @Test
    void aPartFromTheStartReplaysAndAPartFromTheMiddleSaysThatItCannot() throws Exception {
        List<Entry> day = day(3, 4_000);
        FaultyDisk whole = written(day, 64 << 10);
        FaultyDisk head = new FaultyDisk();
        try (CaptureSlice cut = new CaptureSlice(head, 42, 0, 1_500)) {
            new CaptureReader(whole).read(cut);
        }
        Replay replay =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        new CaptureReader(head).read(replay);
        assertEquals(1_499, replay.decided());
        assertEquals(0, replay.differing());

        FaultyDisk middle = new FaultyDisk();
        try (CaptureSlice cut = new CaptureSlice(middle, 42, 1_000, 500)) {
            new CaptureReader(whole).read(cut);
        }
        List<Entry> part = read(middle);
        assertEquals(day.get(0), part.get(0));
        assertEquals(new Entry.Gap(999), part.get(1));
        assertTrue(
                read(whole).subList(1_000, 1_500).equals(part.subList(2, part.size())),
                "the part is as it was");
        Replay none =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        part.forEach(none);
        assertEquals(0, none.decided());
        assertEquals(500, none.passedOver());
        assertThrows(
                IOException.class,
                () -> new CaptureSlice(middle, 42, 0, 1),
                "a capture is not written over");
    }

    @Test
    void anotherModuleIsSeenToDecideOtherwise() throws Exception {
        FaultyDisk disk = written(day(2, 3_000), 1 << 20);
        Replay replay = new Replay(settings -> (event, now) -> List.of(), "other");
        new CaptureReader(disk).read(replay);
        assertTrue(replay.differing() > 100 && replay.hashesDiffer());
    }

    @Test
    void cutAnywhereItOpensToItsLastWholeFrame() throws Exception {
        List<Entry> day = day(3, 400);
        FaultyDisk disk = written(day, 4 << 10);
        String last = disk.list().get(disk.list().size() - 1);
        byte[] whole = disk.read(last);
        List<Entry> all = read(disk);
        int most = 0;
        for (int cut = 0; cut <= whole.length; cut++) {
            disk.put(last, java.util.Arrays.copyOf(whole, cut));
            List<Entry> entries = read(disk);
            entries.removeIf(entry -> entry instanceof Entry.Gap);
            assertEquals(all.subList(0, entries.size()), entries, "cut at " + cut);
            assertTrue(entries.size() >= most, "cut at " + cut);
            most = entries.size();
        }
        assertEquals(all.size(), most);
    }

    @Test
    void aFlippedBitAnywhereIsFoundAndTheNextSegmentCanStillBeRead() throws Exception {
        List<Entry> day = day(4, 800);
        FaultyDisk disk = written(day, 4 << 10);
        assertTrue(disk.list().size() >= 3);
        String second = disk.list().get(1);
        byte[] whole = disk.read(second);
        List<Entry> all = read(disk);
        for (int i = 0; i < whole.length; i++) {
            byte[] flipped = whole.clone();
            flipped[i] ^= (byte) (1 << i % 8);
            disk.put(second, flipped);
            List<Entry> entries = new ArrayList<>();
            List<CaptureReader.Found> found = new CaptureReader(disk).read(entries::add);
            assertTrue(found.get(1).state() != Segment.State.WHOLE, "flipped at " + i);
            int gap =
                    IntStream.range(0, entries.size())
                            .filter(n -> entries.get(n) instanceof Entry.Gap)
                            .findFirst()
                            .orElseThrow();
            assertEquals(all.subList(0, gap), entries.subList(0, gap), "flipped at " + i);
            assertEquals(
                    all.get(all.size() - 1), entries.get(entries.size() - 1), "flipped at " + i);
        }
    }

    @Test
    void afterPowerLossAllThatWasAcknowledgedIsThere() throws Exception {
        List<Entry> day = day(5, 2_000);
        SplittableRandom random = new SplittableRandom(9);
        for (int trial = 0; trial < 200; trial++) {
            FaultyDisk disk = new FaultyDisk();
            Recorder r = recorder(disk, 1 << 20, 8 << 10);
            int given = random.nextInt(day.size());
            day.subList(0, given).forEach(r::record);
            long until = System.nanoTime() + random.nextInt(3_000_000);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            long acknowledged;
            FaultyDisk left;
            synchronized (disk) {
                acknowledged = r.synced();
                left = disk.afterPowerLoss(random);
            }
            r.kill();
            List<Entry> entries = read(left);
            int gap =
                    IntStream.range(0, entries.size())
                            .filter(n -> entries.get(n) instanceof Entry.Gap)
                            .findFirst()
                            .orElse(entries.size());
            assertTrue(
                    gap >= acknowledged,
                    "trial " + trial + ": " + gap + " of " + acknowledged + " acknowledged");
            Replay replay = new Replay(DefaultWorkloadManager::new, "");
            entries.forEach(replay);
            assertEquals(0, replay.differing(), "trial " + trial);
        }
    }

    @Test
    void aDiskThatFailsOrIsSlowCostsAGapAndNeverAWait() throws Exception {
        List<Entry> day = day(6, 5_000);
        FaultyDisk disk = new FaultyDisk();
        Recorder r = recorder(disk, 64, 1 << 20);
        disk.delayMs(5);
        long from = System.nanoTime();
        day.subList(0, 4_000).forEach(r::record);
        assertTrue(System.nanoTime() - from < 2_000 * MS, "recording waited for the disk");
        disk.delayMs(0);
        waitFor(() -> r.dropped() == 0);
        disk.syncFails(true);
        day.subList(4_000, 4_010).forEach(r::record);
        waitFor(() -> r.dropped() > 0);
        disk.syncFails(false);
        waitFor(() -> r.dropped() == 0);
        disk.shortWriteIn(0);
        day.subList(4_010, 4_020).forEach(r::record);
        waitFor(() -> r.dropped() == 0 && disk.shortWriteIn() < 0);
        disk.full(true);
        day.subList(4_020, 4_030).forEach(r::record);
        waitFor(() -> r.dropped() > 0);
        disk.full(false);
        waitFor(() -> r.dropped() == 0);
        r.close();
        List<Entry> entries = read(disk);
        long gaps = entries.stream().filter(entry -> entry instanceof Entry.Gap).count();
        assertTrue(gaps >= 3 && r.gaps() >= 3, gaps + " gaps");
        Replay replay = new Replay(DefaultWorkloadManager::new, "");
        entries.forEach(replay);
        assertEquals(0, replay.differing());
        assertTrue(replay.decided() > 0);
    }

    private static void waitFor(java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 5_000, "waited in vain");
            Thread.sleep(2);
        }
    }

    @Test
    void theOldestSegmentsGoAndWhatIsLeftSaysThatItStartsInTheMiddle() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (Recorder recorder =
                new Recorder(disk, 42, 4 << 10, 12 << 10, 1 << 20, MS, MS, k -> k)) {
            day(7, 3_000).forEach(recorder::record);
        }
        long bytes = 0;
        for (String s : disk.list()) {
            bytes += disk.size(s);
        }
        assertTrue(bytes < 64 << 10, bytes + " bytes kept");
        assertTrue(read(disk).get(0) instanceof Entry.Gap);
        Replay replay = new Replay(DefaultWorkloadManager::new, "");
        new CaptureReader(disk).read(replay);
        assertEquals(0, replay.decided());
        assertTrue(replay.passedOver() > 0);
    }

    @Test
    void twoRoutersCannotWriteOneFolderAndKeysAreNotKept(@TempDir Path dir) throws Exception {
        try (Recorder r = recorder(FolderDisk.writing(dir), 1 << 16, 1 << 20)) {
            IOException failure = assertThrows(IOException.class, () -> FolderDisk.writing(dir));
            assertTrue(failure.getMessage().contains("another router"), failure.getMessage());
            day(8, 500).forEach(r::record);
        }
        for (String text : FolderDisk.reading(dir).list()) {
            String bytes =
                    new String(Files.readAllBytes(dir.resolve(text)), StandardCharsets.ISO_8859_1);
            assertFalse(bytes.contains("customer-"), "a key is in the capture");
        }
        FolderDisk.writing(dir).close(); // free again
    }

    @Test
    void theStoryOfARequestHasItsAttemptsAndItsEnd() throws Exception {
        List<Entry> day = day(9, 2_000);
        long id =
                day.stream()
                        .filter(
                                entry ->
                                        entry instanceof Entry.Step step
                                                && step.event() instanceof AttemptEnded attemptEnded
                                                && attemptEnded.clientAnswered())
                        .mapToLong(entry -> ((AttemptEnded) ((Entry.Step) entry).event()).id())
                        .findFirst()
                        .orElseThrow();
        QueryTimeline story = new QueryTimeline(id);
        day.forEach(story);
        String text = String.join("\n", story.lines());
        assertTrue(
                text.contains("request " + id + " of class")
                        && text.contains("sent to q")
                        && text.contains("the client has its" + " answer"),
                text);
        QueryTimeline none = new QueryTimeline(1 << 30);
        day.forEach(none);
        assertEquals(List.of(), none.lines());
    }
}
