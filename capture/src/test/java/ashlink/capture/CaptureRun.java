package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.log.FaultyDisk;
import ashlink.capture.log.FolderDisk;
import ashlink.decisions.DefaultWorkloadManager;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Measures the capture log. Runs only if selected with {@code -Dtest=CaptureRun}. */
class CaptureRun {

    private static final long MS = 1_000_000L;
    private static final long GIB = 1L << 30;

    /** Measures the time to read a log of 1 GiB after a crash, and replays one recorded script. */
    @Test
    void recoveryTime(@TempDir Path dir) throws Exception {
        List<Entry> script = ScriptedModule.record(1, 200_000);
        Recorder recorder =
                new Recorder(
                        FolderDisk.writing(dir),
                        1,
                        64 << 20,
                        4 * GIB,
                        1 << 16,
                        100 * MS,
                        MS,
                        key -> key);
        long startNs = System.nanoTime();
        fill(dir, recorder, script);
        recorder.kill();
        System.out.printf(
                "wrote %d MiB in %.1f s, %d gaps%n",
                size(dir) >> 20, (System.nanoTime() - startNs) / 1e9, recorder.gaps());
        long readStartNs = System.nanoTime();
        long[] readEntries = new long[1];
        List<CaptureReader.SegmentSummary> segments =
                new CaptureReader(FolderDisk.reading(dir)).read(entry -> readEntries[0]++);
        System.out.printf(
                "read %d entries of %d segments in %.2f s; state of the last segment %s%n",
                readEntries[0],
                segments.size(),
                (System.nanoTime() - readStartNs) / 1e9,
                segments.get(segments.size() - 1).state());
        Replay replay = new Replay(DefaultWorkloadManager::new, "");
        script.forEach(replay);
        System.out.println("divergent steps " + replay.divergentSteps());
    }

    private static void fill(Path dir, Recorder recorder, List<Entry> script) throws Exception {
        long entries = 0;
        while (size(dir) < GIB) {
            for (Entry entry : script) {
                while (recorder.dropped() > 0) {
                    Thread.sleep(1);
                }
                recorder.record(entry);
                entries++;
                if (entries % 1000 == 0) {
                    Thread.sleep(0, 200_000);
                }
            }
        }
    }

    private static long size(Path dir) throws IOException {
        try (var files = Files.list(dir)) {
            return files.mapToLong(path -> path.toFile().length()).sum();
        }
    }

    /** Measures the time of {@link Recorder#record} with write delays of 0 and 20 ms. */
    @Test
    void recordingCost() throws Exception {
        List<Entry> script = ScriptedModule.record(2, 50_000);
        for (long delayMs : new long[] {0, 20, 0, 20}) {
            FaultyDisk disk = new FaultyDisk();
            disk.delayMs(delayMs);
            Recorder recorder =
                    new Recorder(disk, 1, 64 << 20, GIB, 1 << 14, 100 * MS, MS, key -> key);
            long[] durationsNs = new long[script.size()];
            for (int i = 0; i < durationsNs.length; i++) {
                long startNs = System.nanoTime();
                recorder.record(script.get(i));
                durationsNs[i] = System.nanoTime() - startNs;
                if (i % 20 == 0) {
                    Thread.sleep(0, 100_000);
                }
            }
            Arrays.sort(durationsNs);
            System.out.printf(
                    "delay %d ms: median %.2f us, 99.9th percentile %.1f us, maximum %.1f us; %d"
                            + " gaps%n",
                    delayMs,
                    durationsNs[durationsNs.length / 2] / 1e3,
                    durationsNs[(int) (durationsNs.length * 0.999)] / 1e3,
                    durationsNs[durationsNs.length - 1] / 1e3,
                    recorder.gaps());
            recorder.kill();
        }
    }
}
