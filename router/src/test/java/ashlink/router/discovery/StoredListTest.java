package ashlink.router.discovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import ashlink.router.StoredFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that an endpoint list saved by an earlier build is read with the same content, and is not
 * used if it is corrupt. The list is {@code src/test/resources/stored/engines.list}; the README in
 * that directory describes how the list was written.
 */
class StoredListTest {

    private static final long NS_PER_MS = 1_000_000L;
    private static final long NS_PER_S = 1_000 * NS_PER_MS;
    private static final long NS_PER_DAY = 24 * 3_600 * NS_PER_S;
    private static final long SAVED_EPOCH_MS = 1_700_000_000_000L;

    /** Time of the load on the clock of the router, long after the start of the router. */
    private static final long NOW_NS = 100 * NS_PER_DAY;

    @TempDir Path directory;

    private static List<Endpoint> expected(long firstStartedNs, long thirdStartedNs) {
        return List.of(
                new Endpoint("q1", EndpointState.READY, "z", "large", 3, firstStartedNs),
                new Endpoint("q2", EndpointState.DRAINING, "mañana", "small", -1, 0),
                new Endpoint("q3", EndpointState.REMOVED, "", "", Long.MAX_VALUE, thirdStartedNs));
    }

    private IOException failureOfLoading(byte[] bytes) throws IOException {
        Path file = Files.write(directory.resolve("engines.list"), bytes);
        return assertThrows(
                IOException.class, () -> new EndpointListStore(file).load(NOW_NS, SAVED_EPOCH_MS));
    }

    private static byte[] stored() throws Exception {
        return Files.readAllBytes(StoredFiles.stored("engines.list"));
    }

    @Test
    void storedListIsReadWithSavedContent() throws Exception {
        EndpointListStore store = new EndpointListStore(StoredFiles.stored("engines.list"));
        assertEquals(
                expected(NOW_NS - 2 * NS_PER_S, NOW_NS - 90 * NS_PER_DAY),
                store.load(NOW_NS, SAVED_EPOCH_MS));
    }

    @Test
    void startTimesAreConvertedToRouterClock() throws Exception {
        EndpointListStore store = new EndpointListStore(StoredFiles.stored("engines.list"));
        assertEquals(
                expected(NOW_NS - 12 * NS_PER_S, NOW_NS - 90 * NS_PER_DAY - 10 * NS_PER_S),
                store.load(NOW_NS, SAVED_EPOCH_MS + 10_000));
    }

    @Test
    void savingSameListWritesSameBytes() throws Exception {
        Path file = directory.resolve("engines.list");
        new EndpointListStore(file)
                .save(
                        expected(NOW_NS - 2 * NS_PER_S, NOW_NS - 90 * NS_PER_DAY),
                        NOW_NS,
                        SAVED_EPOCH_MS);
        assertArrayEquals(stored(), Files.readAllBytes(file));
    }

    @Test
    void listWithAnyChangedByteIsNotLoaded() throws Exception {
        byte[] complete = stored();
        for (int i = 0; i < complete.length; i++) {
            byte[] changed = complete.clone();
            changed[i] ^= 1;
            failureOfLoading(changed);
        }
    }

    @Test
    void truncatedListIsNotLoaded() throws Exception {
        byte[] complete = stored();
        for (int length = 0; length < complete.length; length++) {
            failureOfLoading(Arrays.copyOf(complete, length));
        }
    }

    @Test
    void failureContainsPathOfFile() throws Exception {
        byte[] complete = stored();
        String path = directory.resolve("engines.list").toString();
        assertEquals(
                "endpoint list " + path + " is truncated or corrupt",
                failureOfLoading(Arrays.copyOf(complete, complete.length - 1)).getMessage());
        complete[0] ^= 1;
        assertEquals(
                "invalid header of endpoint list " + path + ": expected version 1",
                failureOfLoading(complete).getMessage());
    }
}
