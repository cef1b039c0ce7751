package ashlink.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.events.Entry;
import ashlink.capture.log.Disk;
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
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests recording, reading and replay of captures, including with injected disk faults. */
class CaptureTest {

    private static final long MS = 1_000_000L;

    private static Recorder recorder(Disk disk, int queueCapacity, long segmentBytes) {
        return new Recorder(
                disk,
                42,
                segmentBytes,
                1L << 40,
                queueCapacity,
                MS,
                5 * MS,
                key -> "h" + key.hashCode());
    }

    private static FaultyDisk write(List<Entry> entries, long segmentBytes) throws IOException {
        FaultyDisk disk = new FaultyDisk();
        try (Recorder recorder = recorder(disk, 1 << 20, segmentBytes)) {
            entries.forEach(recorder::record);
        }
        return disk;
    }

    private static List<Entry> read(Disk disk) throws IOException {
        List<Entry> entries = new ArrayList<>();
        new CaptureReader(disk).read(entries::add);
        return entries;
    }

    @Test
    void parallelReplaysHaveNoDivergenceAndEntriesTakeFewBytes() throws Exception {
        List<Entry> recorded = ScriptedModule.record(1, 20_000);
        FaultyDisk disk = write(recorded, 64 << 10);
        assertTrue(disk.list().size() > 3);
        long bytes = 0;
        for (String name : disk.list()) {
            bytes += disk.size(name);
        }
        assertTrue(bytes / recorded.size() < 60, bytes / recorded.size() + " bytes per entry");
        List<Long> divergentSteps =
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
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L, 0L, 0L, 0L), divergentSteps);
    }

    @Test
    void sliceFromTheStartReplaysAndSliceFromTheMiddleDoesNot() throws Exception {
        List<Entry> recorded = ScriptedModule.record(3, 4_000);
        FaultyDisk complete = write(recorded, 64 << 10);
        FaultyDisk beginning = new FaultyDisk();
        try (CaptureSlice slice = new CaptureSlice(beginning, 42, 0, 1_500)) {
            new CaptureReader(complete).read(slice);
        }
        Replay replay =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        new CaptureReader(beginning).read(replay);
        assertEquals(1_499, replay.replayedSteps());
        assertEquals(0, replay.divergentSteps());

        FaultyDisk middle = new FaultyDisk();
        try (CaptureSlice slice = new CaptureSlice(middle, 42, 1_000, 500)) {
            new CaptureReader(complete).read(slice);
        }
        List<Entry> slice = read(middle);
        assertEquals(recorded.get(0), slice.get(0));
        assertEquals(new Entry.Gap(999), slice.get(1));
        assertTrue(
                read(complete).subList(1_000, 1_500).equals(slice.subList(2, slice.size())),
                "entries of the slice differ from the capture");
        Replay sliceReplay =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        slice.forEach(sliceReplay);
        assertEquals(0, sliceReplay.replayedSteps());
        assertEquals(500, sliceReplay.skippedSteps());
        assertThrows(
                IOException.class,
                () -> new CaptureSlice(middle, 42, 0, 1),
                "existing capture was overwritten");
    }

    @Test
    void replayReportsTheDivergencesOfAnotherModule() throws Exception {
        FaultyDisk disk = write(ScriptedModule.record(2, 3_000), 1 << 20);
        Replay replay = new Replay(settings -> (event, nowNs) -> List.of(), "other");
        new CaptureReader(disk).read(replay);
        assertTrue(replay.divergentSteps() > 100 && replay.hashesDiffer());
    }

    @Test
    void truncatedSegmentIsReadUpToItsLastIntactFrame() throws Exception {
        List<Entry> recorded = ScriptedModule.record(3, 400);
        FaultyDisk disk = write(recorded, 4 << 10);
        String lastSegment = disk.list().get(disk.list().size() - 1);
        byte[] complete = disk.read(lastSegment);
        List<Entry> all = read(disk);
        int mostEntries = 0;
        for (int length = 0; length <= complete.length; length++) {
            disk.put(lastSegment, Arrays.copyOf(complete, length));
            List<Entry> entries = read(disk);
            entries.removeIf(entry -> entry instanceof Entry.Gap);
            assertEquals(
                    all.subList(0, entries.size()), entries, "truncated to " + length + " bytes");
            assertTrue(entries.size() >= mostEntries, "truncated to " + length + " bytes");
            mostEntries = entries.size();
        }
        assertEquals(all.size(), mostEntries);
    }

    @Test
    void flippedBitIsDetectedAndTheNextSegmentIsRead() throws Exception {
        List<Entry> recorded = ScriptedModule.record(4, 800);
        FaultyDisk disk = write(recorded, 4 << 10);
        assertTrue(disk.list().size() >= 3);
        String secondSegment = disk.list().get(1);
        byte[] complete = disk.read(secondSegment);
        List<Entry> all = read(disk);
        for (int i = 0; i < complete.length; i++) {
            byte[] flipped = complete.clone();
            flipped[i] ^= (byte) (1 << i % 8);
            disk.put(secondSegment, flipped);
            List<Entry> entries = new ArrayList<>();
            List<CaptureReader.SegmentSummary> segments =
                    new CaptureReader(disk).read(entries::add);
            assertTrue(segments.get(1).state() != Segment.State.WHOLE, "bit flipped in byte " + i);
            int firstGap =
                    IntStream.range(0, entries.size())
                            .filter(index -> entries.get(index) instanceof Entry.Gap)
                            .findFirst()
                            .orElseThrow();
            assertEquals(
                    all.subList(0, firstGap),
                    entries.subList(0, firstGap),
                    "bit flipped in byte " + i);
            assertEquals(
                    all.get(all.size() - 1),
                    entries.get(entries.size() - 1),
                    "bit flipped in byte " + i);
        }
    }

    @Test
    void syncedEntriesSurviveAPowerLoss() throws Exception {
        List<Entry> recorded = ScriptedModule.record(5, 2_000);
        SplittableRandom random = new SplittableRandom(9);
        for (int trial = 0; trial < 200; trial++) {
            FaultyDisk disk = new FaultyDisk();
            Recorder recorder = recorder(disk, 1 << 20, 8 << 10);
            int recordedCount = random.nextInt(recorded.size());
            recorded.subList(0, recordedCount).forEach(recorder::record);
            long deadlineNs = System.nanoTime() + random.nextInt(3_000_000);
            while (System.nanoTime() < deadlineNs) {
                Thread.onSpinWait();
            }
            long synced;
            FaultyDisk survivor;
            synchronized (disk) {
                synced = recorder.synced();
                survivor = disk.afterPowerLoss(random);
            }
            recorder.kill();
            List<Entry> entries = read(survivor);
            int firstGap =
                    IntStream.range(0, entries.size())
                            .filter(index -> entries.get(index) instanceof Entry.Gap)
                            .findFirst()
                            .orElse(entries.size());
            assertTrue(
                    firstGap >= synced,
                    "trial " + trial + ": read " + firstGap + " of " + synced + " synced entries");
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
        long startNs = System.nanoTime();
        recorded.subList(0, 4_000).forEach(recorder::record);
        assertTrue(System.nanoTime() - startNs < 2_000 * MS, "recording blocked on the disk");
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

    private static void waitFor(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 5_000, "condition not met in time");
            Thread.sleep(2);
        }
    }

    @Test
    void oldestSegmentsAreDeletedAndTheRemainderBeginsWithAGap() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (Recorder recorder =
                new Recorder(disk, 42, 4 << 10, 12 << 10, 1 << 20, MS, MS, key -> key)) {
            ScriptedModule.record(7, 3_000).forEach(recorder::record);
        }
        long bytes = 0;
        for (String name : disk.list()) {
            bytes += disk.size(name);
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
        for (String name : FolderDisk.reading(dir).list()) {
            String bytes =
                    new String(Files.readAllBytes(dir.resolve(name)), StandardCharsets.ISO_8859_1);
            assertFalse(bytes.contains("customer-"), "unmasked key in the capture");
        }
        FolderDisk.writing(dir)
                .close(); // succeeds because close() of the recorder released the lock
    }

    @Test
    void timelineContainsTheAttemptsAndTheResultOfAQuery() throws Exception {
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
        QueryTimeline unknownQuery = new QueryTimeline(1 << 30);
        recorded.forEach(unknownQuery);
        assertEquals(List.of(), unknownQuery.lines());
    }
}
