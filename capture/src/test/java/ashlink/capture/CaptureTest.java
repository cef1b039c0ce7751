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
import ashlink.decisions.api.Event.AttemptEnded;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Recording, reading and replay of captures, with faults of the disk. */
class CaptureTest {

    private static final long MS = 1_000_000L;

    private static Recorder recorder(ashlink.capture.log.Disk disk, int queue, long segment) {
        return new Recorder(
                disk, 42, segment, 1L << 40, queue, MS, 5 * MS, text -> "h" + text.hashCode());
    }

    private static FaultyDisk written(List<Entry> entries, long segment) throws IOException {
        FaultyDisk disk = new FaultyDisk();
        try (Recorder recorder = recorder(disk, 1 << 20, segment)) {
            entries.forEach(recorder::record);
        }
        return disk;
    }

    private static List<Entry> read(ashlink.capture.log.Disk disk) throws IOException {
        List<Entry> entries = new ArrayList<>();
        new CaptureReader(disk).read(entries::add);
        return entries;
    }

    @Test
    void replaysExactlyInParallelAndStoresFewBytes() throws Exception {
        List<Entry> recorded = ScriptedModule.record(1, 20_000);
        FaultyDisk disk = written(recorded, 64 << 10);
        assertTrue(disk.list().size() > 3);
        long bytes = 0;
        for (String text : disk.list()) {
            bytes += disk.size(text);
        }
        assertTrue(bytes / recorded.size() < 60, bytes / recorded.size() + " bytes an entry");
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
                                    assertEquals(recorded.size() - 1, replay.replayedSteps());
                                    assertFalse(replay.hashesDiffer());
                                    return replay.divergentSteps();
                                })
                        .toList();
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L, 0L, 0L, 0L), differing);
    }

    @Test
    void sliceFromTheStartReplaysAndSliceFromTheMiddleDoesNot() throws Exception {
        List<Entry> recorded = ScriptedModule.record(3, 4_000);
        FaultyDisk complete = written(recorded, 64 << 10);
        FaultyDisk head = new FaultyDisk();
        try (CaptureSlice cut = new CaptureSlice(head, 42, 0, 1_500)) {
            new CaptureReader(complete).read(cut);
        }
        Replay replay =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        new CaptureReader(head).read(replay);
        assertEquals(1_499, replay.replayedSteps());
        assertEquals(0, replay.divergentSteps());

        FaultyDisk middle = new FaultyDisk();
        try (CaptureSlice cut = new CaptureSlice(middle, 42, 1_000, 500)) {
            new CaptureReader(complete).read(cut);
        }
        List<Entry> part = read(middle);
        assertEquals(recorded.get(0), part.get(0));
        assertEquals(new Entry.Gap(999), part.get(1));
        assertTrue(
                read(complete).subList(1_000, 1_500).equals(part.subList(2, part.size())),
                "the part is as it was");
        Replay none =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        part.forEach(none);
        assertEquals(0, none.replayedSteps());
        assertEquals(500, none.skippedSteps());
        assertThrows(
                IOException.class,
                () -> new CaptureSlice(middle, 42, 0, 1),
                "a capture is not written over");
    }

    @Test
    void replayReportsTheDivergencesOfAnotherModule() throws Exception {
        FaultyDisk disk = written(ScriptedModule.record(2, 3_000), 1 << 20);
        Replay replay = new Replay(settings -> (event, now) -> List.of(), "other");
        new CaptureReader(disk).read(replay);
        assertTrue(replay.divergentSteps() > 100 && replay.hashesDiffer());
    }

    @Test
    void truncatedSegmentIsReadUpToItsLastIntactFrame() throws Exception {
        List<Entry> recorded = ScriptedModule.record(3, 400);
        FaultyDisk disk = written(recorded, 4 << 10);
        String last = disk.list().get(disk.list().size() - 1);
        byte[] complete = disk.read(last);
        List<Entry> all = read(disk);
        int longest = 0;
        for (int cut = 0; cut <= complete.length; cut++) {
            disk.put(last, java.util.Arrays.copyOf(complete, cut));
            List<Entry> entries = read(disk);
            entries.removeIf(entry -> entry instanceof Entry.Gap);
            assertEquals(all.subList(0, entries.size()), entries, "cut at " + cut);
            assertTrue(entries.size() >= longest, "cut at " + cut);
            longest = entries.size();
        }
        assertEquals(all.size(), longest);
    }

    @Test
    void flippedBitIsDetectedAndTheNextSegmentIsRead() throws Exception {
        List<Entry> recorded = ScriptedModule.record(4, 800);
        FaultyDisk disk = written(recorded, 4 << 10);
        assertTrue(disk.list().size() >= 3);
        String second = disk.list().get(1);
        byte[] complete = disk.read(second);
        List<Entry> all = read(disk);
        for (int i = 0; i < complete.length; i++) {
            byte[] flipped = complete.clone();
            flipped[i] ^= (byte) (1 << i % 8);
            disk.put(second, flipped);
            List<Entry> entries = new ArrayList<>();
            List<CaptureReader.SegmentSummary> found = new CaptureReader(disk).read(entries::add);
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
    void syncedEntriesSurviveAPowerLoss() throws Exception {
        List<Entry> recorded = ScriptedModule.record(5, 2_000);
        SplittableRandom random = new SplittableRandom(9);
        for (int trial = 0; trial < 200; trial++) {
            FaultyDisk disk = new FaultyDisk();
            Recorder recorder = recorder(disk, 1 << 20, 8 << 10);
            int given = random.nextInt(recorded.size());
            recorded.subList(0, given).forEach(recorder::record);
            long until = System.nanoTime() + random.nextInt(3_000_000);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            long acknowledged;
            FaultyDisk left;
            synchronized (disk) {
                acknowledged = recorder.synced();
                left = disk.afterPowerLoss(random);
            }
            recorder.kill();
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
            assertEquals(0, replay.divergentSteps(), "trial " + trial);
        }
    }

    @Test
    void failingOrSlowDiskCausesGapsAndNeverBlocks() throws Exception {
        List<Entry> recorded = ScriptedModule.record(6, 5_000);
        FaultyDisk disk = new FaultyDisk();
        Recorder recorder = recorder(disk, 64, 1 << 20);
        disk.delayMs(5);
        long from = System.nanoTime();
        recorded.subList(0, 4_000).forEach(recorder::record);
        assertTrue(System.nanoTime() - from < 2_000 * MS, "recording blocked on the disk");
        disk.delayMs(0);
        waitFor(() -> recorder.dropped() == 0);
        disk.syncFails(true);
        recorded.subList(4_000, 4_010).forEach(recorder::record);
        waitFor(() -> recorder.dropped() > 0);
        disk.syncFails(false);
        waitFor(() -> recorder.dropped() == 0);
        disk.shortWriteIn(0);
        recorded.subList(4_010, 4_020).forEach(recorder::record);
        waitFor(() -> recorder.dropped() == 0 && disk.shortWriteIn() < 0);
        disk.full(true);
        recorded.subList(4_020, 4_030).forEach(recorder::record);
        waitFor(() -> recorder.dropped() > 0);
        disk.full(false);
        waitFor(() -> recorder.dropped() == 0);
        recorder.close();
        List<Entry> entries = read(disk);
        long gaps = entries.stream().filter(entry -> entry instanceof Entry.Gap).count();
        assertTrue(gaps >= 3 && recorder.gaps() >= 3, gaps + " gaps");
        Replay replay = new Replay(DefaultWorkloadManager::new, "");
        entries.forEach(replay);
        assertEquals(0, replay.divergentSteps());
        assertTrue(replay.replayedSteps() > 0);
    }

    private static void waitFor(java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 5_000, "condition not met in time");
            Thread.sleep(2);
        }
    }

    @Test
    void oldestSegmentsAreDeletedAndTheRestBeginsWithAGap() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (Recorder recorder =
                new Recorder(disk, 42, 4 << 10, 12 << 10, 1 << 20, MS, MS, k -> k)) {
            ScriptedModule.record(7, 3_000).forEach(recorder::record);
        }
        long bytes = 0;
        for (String s : disk.list()) {
            bytes += disk.size(s);
        }
        assertTrue(bytes < 64 << 10, bytes + " bytes retained");
        assertTrue(read(disk).get(0) instanceof Entry.Gap);
        Replay replay = new Replay(DefaultWorkloadManager::new, "");
        new CaptureReader(disk).read(replay);
        assertEquals(0, replay.replayedSteps());
        assertTrue(replay.skippedSteps() > 0);
    }

    @Test
    void directoryHasOneWriterAndKeysAreNotStored(@TempDir Path dir) throws Exception {
        try (Recorder recorder = recorder(FolderDisk.writing(dir), 1 << 16, 1 << 20)) {
            IOException failure = assertThrows(IOException.class, () -> FolderDisk.writing(dir));
            assertTrue(failure.getMessage().contains("another router"), failure.getMessage());
            ScriptedModule.record(8, 500).forEach(recorder::record);
        }
        for (String text : FolderDisk.reading(dir).list()) {
            String bytes =
                    new String(Files.readAllBytes(dir.resolve(text)), StandardCharsets.ISO_8859_1);
            assertFalse(bytes.contains("customer-"), "a key is in the capture");
        }
        FolderDisk.writing(dir).close(); // free again
    }

    @Test
    void timelineHasTheAttemptsAndTheEndOfAQuery() throws Exception {
        List<Entry> recorded = ScriptedModule.record(9, 2_000);
        long id =
                recorded.stream()
                        .filter(
                                entry ->
                                        entry instanceof Entry.Step step
                                                && step.event() instanceof AttemptEnded attemptEnded
                                                && attemptEnded.clientAnswered())
                        .mapToLong(entry -> ((AttemptEnded) ((Entry.Step) entry).event()).id())
                        .findFirst()
                        .orElseThrow();
        QueryTimeline timeline = new QueryTimeline(id);
        recorded.forEach(timeline);
        String text = String.join("\n", timeline.lines());
        assertTrue(
                text.contains("request " + id + " of class")
                        && text.contains("sent to q")
                        && text.contains("client received the answer"),
                text);
        QueryTimeline none = new QueryTimeline(1 << 30);
        recorded.forEach(none);
        assertEquals(List.of(), none.lines());
    }
}
