package ashlink.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.events.Entry;
import ashlink.capture.log.FolderDisk;
import ashlink.capture.log.Segment;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.RetrySafety;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that captures of an earlier build are still read correctly and replay without divergence.
 * The captures are in {@code src/test/resources/stored/capture}; a README describes how they were
 * written.
 *
 * <p>The module hash in the captures differs from the hash of the current code, because the hash
 * changes with each build. No test compares the two hashes.
 */
class StoredCaptureTest {

    private static final int RECORDED_STEPS = 300;

    private static Path stored(String name) throws URISyntaxException {
        Path directory = Path.of(StoredCaptureTest.class.getResource("/stored/capture").toURI());
        return directory.resolve(name);
    }

    private static List<Entry> read(String name) throws IOException, URISyntaxException {
        List<Entry> entries = new ArrayList<>();
        new CaptureReader(FolderDisk.reading(stored(name))).read(entries::add);
        return entries;
    }

    private static Replay replay() throws IOException, URISyntaxException {
        Replay replay = new Replay(DefaultWorkloadManager::new, "");
        new CaptureReader(FolderDisk.reading(stored("day"))).read(replay);
        return replay;
    }

    @ParameterizedTest
    @ValueSource(strings = {"kinds", "day"})
    void entriesAreReadAsTheyWereWritten(String name) throws Exception {
        assertEquals(Files.readString(stored(name + ".txt")), EntryText.of(read(name)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"kinds", "day"})
    void segmentsAreIntactAndConsecutive(String name) throws Exception {
        List<CaptureReader.SegmentSummary> segments =
                new CaptureReader(FolderDisk.reading(stored(name))).read(entry -> {});
        assertTrue(segments.size() > 1, segments.toString());
        for (int i = 0; i < segments.size(); i++) {
            assertEquals(Segment.State.WHOLE, segments.get(i).state(), segments.get(i).reason());
            assertEquals(i, segments.get(i).number());
            assertEquals(1_700_000_000_000L, segments.get(i).boot());
        }
    }

    @Test
    void storedCaptureHasEveryKindOfEventAndAction() throws Exception {
        Set<Class<?>> found = new HashSet<>();
        for (Entry entry : read("kinds")) {
            found.add(entry.getClass());
            if (entry instanceof Entry.Step step) {
                found.add(step.event().getClass());
                step.actions().forEach(action -> found.add(action.getClass()));
            }
        }
        for (Class<?> sealed : List.of(Entry.class, Event.class, Action.class)) {
            assertTrue(
                    found.containsAll(List.of(sealed.getPermittedSubclasses())), found.toString());
        }
    }

    /** Enum constants are stored as ordinals, so their order is part of the file format. */
    @Test
    void enumConstantsHaveTheirStoredOrdinals() {
        assertEquals(
                List.of(RetrySafety.IDEMPOTENT, RetrySafety.DEDUPLICATED, RetrySafety.AT_MOST_ONCE),
                List.of(RetrySafety.values()));
        assertEquals(
                List.of(DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL),
                List.of(DeduplicationScope.values()));
        assertEquals(
                List.of(EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED),
                List.of(EndpointState.values()));
        assertEquals(
                List.of(
                        Outcome.SERVED,
                        Outcome.ERROR,
                        Outcome.REJECTED,
                        Outcome.TIMED_OUT,
                        Outcome.CONNECT_FAILED,
                        Outcome.RESET,
                        Outcome.CANCELLED,
                        Outcome.NOT_SENT),
                List.of(Outcome.values()));
        assertEquals(
                List.of(ProgressKind.FRACTION_DONE, ProgressKind.SPILLED_MB, ProgressKind.WAITING),
                List.of(ProgressKind.values()));
        assertEquals(
                List.of(
                        EndpointListKind.SNAPSHOT,
                        EndpointListKind.DELTA,
                        EndpointListKind.CACHED,
                        EndpointListKind.UNAVAILABLE),
                List.of(EndpointListKind.values()));
    }

    @Test
    void replayHasNoDivergence() throws Exception {
        Replay replay = replay();
        assertEquals(List.of(), replay.divergences());
        assertEquals(0, replay.divergentSteps());
    }

    @Test
    void replayCoversEveryStep() throws Exception {
        Replay replay = replay();
        assertEquals(2, replay.starts());
        assertEquals(RECORDED_STEPS, replay.replayedSteps());
        assertEquals(0, replay.skippedSteps());
    }
}
