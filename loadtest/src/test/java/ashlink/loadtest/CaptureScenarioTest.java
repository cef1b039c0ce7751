package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.CaptureReader;
import ashlink.capture.ModuleHash;
import ashlink.capture.Replay;
import ashlink.capture.log.FolderDisk;
import ashlink.config.ScenarioConfigReader;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.loadtest.scenario.ScenarioRunner;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Captures of routers under faults, one of which crashes during the scenario, are replayed with the
 * same decisions.
 */
class CaptureScenarioTest {

    @Test
    void scenarioWithACrashedRouterIsReplayedWithoutDivergence(@TempDir Path directory)
            throws Exception {
        new ScenarioRunner(
                        ScenarioConfigReader.read(
                                "day.sexp",
                                """
                                (day (name captured) (duration 4s) (rate 100/s) (router r1 (zone halle-1)) (router r2 (zone halle-1))
                                  (engine q1 (zone halle-1) (kind typ-a)) (engine q2 (zone halle-1) (kind typ-b))
                                  (load abfrage (share 0.7) (work 30ms) (timeout 1s) (user portal) (retries 1))
                                  (load bericht (share 0.2) (work 100ms) (threads 4) (timeout 2s) (user billing))
                                  (load ladung (share 0.1) (work 50ms) (threads 2) (timeout 2s) (user portal) (write yes) (keys 2))
                                  (trouble (kind hang) (at 500ms) (for 1s) (target q2))
                                  (trouble (kind drain) (at 1500ms) (for 1s) (target q1))
                                  (trouble (kind router-kill) (at 2s) (for 300ms) (target r2))
                                  (trouble (kind crash) (at 2800ms) (for 400ms) (target q1))
                                  (settings "(capture (dir \\"%s/{router}\\") (segment 32KiB) (sync 20ms))"))\
                                """
                                        .formatted(directory)),
                        DefaultWorkloadManager::new)
                .run();
        for (String router : new String[] {"r1", "r2"}) {
            Replay replay =
                    new Replay(
                            DefaultWorkloadManager::new,
                            ModuleHash.of(DefaultWorkloadManager.class));
            new CaptureReader(FolderDisk.reading(directory.resolve(router))).read(replay);
            assertEquals(0, replay.divergentSteps(), router + ": " + replay.divergences());
            assertTrue(
                    replay.replayedSteps() > 300,
                    router + ": " + replay.replayedSteps() + " steps");
            assertEquals(router.equals("r2") ? 2 : 1, replay.starts());
        }
    }
}
