package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.CaptureReader;
import ashlink.capture.ModuleHash;
import ashlink.capture.Replay;
import ashlink.capture.log.FolderDisk;
import ashlink.capture.log.Segment;
import ashlink.decisions.DefaultWorkloadManager;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays captures of routers that were recorded under faults and expects the same decisions. After
 * an intended change of the decisions, record the captures again with {@code ./ashlink badday
 * --trouble NAME --capture DIR}.
 */
class RegressionScenariosTest {

    static Stream<Path> captures() throws Exception {
        URI directory =
                RegressionScenariosTest.class.getResource("/ashlink/loadtest/captures").toURI();
        try (Stream<Path> scenarios = Files.list(Path.of(directory))) {
            List<Path> routerCaptures =
                    scenarios
                            .flatMap(
                                    scenario -> {
                                        try {
                                            return Files.list(scenario);
                                        } catch (java.io.IOException e) {
                                            throw new java.io.UncheckedIOException(e);
                                        }
                                    })
                            .sorted()
                            .toList();
            return routerCaptures.stream();
        }
    }

    @ParameterizedTest
    @MethodSource("captures")
    void replayMakesTheSameDecisions(Path capture) throws Exception {
        Replay replay =
                new Replay(
                        DefaultWorkloadManager::new, ModuleHash.of(DefaultWorkloadManager.class));
        List<CaptureReader.SegmentSummary> segments =
                new CaptureReader(FolderDisk.reading(capture)).read(replay);
        assertTrue(
                segments.stream()
                        .allMatch(
                                segment ->
                                        segment.state() == Segment.State.WHOLE
                                                || segment.state() == Segment.State.TORN),
                segments.toString());
        assertEquals(0, replay.divergentSteps(), replay.divergences().toString());
        assertTrue(replay.replayedSteps() > 500, replay.replayedSteps() + " steps");
    }
}
