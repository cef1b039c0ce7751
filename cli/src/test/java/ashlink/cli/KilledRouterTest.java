package ashlink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.CaptureReader;
import ashlink.capture.ModuleHash;
import ashlink.capture.Replay;
import ashlink.capture.log.FolderDisk;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.fixture.EmulatedEngines;
import ashlink.loadtest.fixture.TestSettings;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills a router process at pseudorandom times and checks that the capture can be read and that a
 * replay makes the same decisions.
 */
class KilledRouterTest {

    private static final int KILLS = 3;
    private static final long NS_PER_SECOND = 1_000_000_000L;

    private static Path writeSettings(Path dir, List<EmulatedEngine> engines) throws Exception {
        Path config = dir.resolve("r1.sexp");
        Files.writeString(
                config,
                TestSettings.text(
                        "r1",
                        "halle-1",
                        0,
                        1,
                        7,
                        0,
                        engines,
                        "(state-dir \""
                                + dir.resolve("state")
                                + "\") (capture (dir \""
                                + dir.resolve("capture")
                                + "\") (sync 5ms))"));
        return config;
    }

    private static int countAnswers(NativeClient client, int queries) {
        int answerCount = 0;
        for (int i = 0; i < queries; i++) {
            answerCount +=
                    client.query("", "SELECT /* sim work_ms=1 */ 1", Map.of(), 5 * NS_PER_SECOND)
                                    .isFinal()
                            ? 1
                            : 0;
        }
        return answerCount;
    }

    @Test
    void captureOfAKilledRouterIsReplayedIdentically(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        Path config = writeSettings(dir, engines);
        SplittableRandom random = new SplittableRandom(5);
        int answerCount = 0;
        for (int kill = 0; kill < KILLS; kill++) {
            Process process = RouterProcess.start(config);
            try {
                String line =
                        new BufferedReader(new InputStreamReader(process.getInputStream()))
                                .readLine();
                int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
                int queries = 20 + random.nextInt(200);
                try (NativeClient client =
                        NativeClient.connect(new InetSocketAddress("127.0.0.1", port), "portal")) {
                    answerCount += countAnswers(client, queries);
                }
            } finally {
                process.destroyForcibly();
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            }
        }
        engines.forEach(EmulatedEngine::crash);
        Replay replay =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        new CaptureReader(FolderDisk.reading(dir.resolve("capture"))).read(replay);
        assertEquals(KILLS, replay.starts());
        assertEquals(0, replay.divergentSteps(), replay.divergences().toString());
        assertTrue(
                answerCount > 60 && replay.replayedSteps() > answerCount,
                replay.replayedSteps() + " steps for " + answerCount + " answers");
    }
}
