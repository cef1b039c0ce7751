package ashlink.router.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.config.RouterConfig.EngineSpec;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the detection of engine restarts by the endpoint registry, and the durability of the stored
 * endpoint list.
 */
class EndpointRegistryTest {

    private static final long NS_PER_S = 1_000_000_000L;
    private static final long NOW_NS = 1_000_000 * NS_PER_S;
    private final EndpointRegistry registry = new EndpointRegistry(14 * NS_PER_S);

    private static EngineSpec spec(int port) {
        return new EngineSpec(
                "q1",
                InetSocketAddress.createUnresolved("h", port),
                "z",
                "k",
                0,
                EndpointState.READY);
    }

    private long startedNs() {
        return registry.endpoints().get(0).startedNs();
    }

    @Test
    void engineWithLongUptimeIsNotWarmingUp() {
        registry.configure(List.of(spec(1)));
        assertTrue(registry.recordUptime("q1", 15 * NS_PER_S, NOW_NS).isEmpty());
        assertEquals(0, startedNs());
    }

    @Test
    void shorterUptimeIsDetectedAsRestartAndRoundingIsIgnored() {
        registry.configure(List.of(spec(1)));
        assertTrue(registry.recordUptime("q1", 100 * NS_PER_S, NOW_NS).isEmpty());
        assertTrue(registry.recordUptime("q1", 3 * NS_PER_S, NOW_NS).isPresent());
        assertEquals(NOW_NS - 3 * NS_PER_S, startedNs());
        assertTrue(registry.recordUptime("q1", 4 * NS_PER_S, NOW_NS + 2 * NS_PER_S).isEmpty());
        assertTrue(registry.recordUptime("q1", 1 * NS_PER_S, NOW_NS + 9 * NS_PER_S).isPresent());
        assertEquals(NOW_NS + 8 * NS_PER_S, startedNs());
    }

    @Test
    void connectionAfterFailedConnectionIsTreatedAsStartUntilUptimeIsReported() {
        registry.configure(List.of(spec(1)));
        assertTrue(registry.recordConnection("q1", NOW_NS).isEmpty());
        registry.recordConnectFailure("q1");
        assertTrue(registry.recordConnection("q1", NOW_NS).isPresent());
        assertEquals(NOW_NS, startedNs());
        assertTrue(registry.recordUptime("q1", 5 * NS_PER_S, NOW_NS + NS_PER_S).isPresent());
        assertEquals(NOW_NS - 4 * NS_PER_S, startedNs());
        assertTrue(registry.recordConnection("q1", NOW_NS + NS_PER_S).isEmpty());
        registry.recordConnectFailure("q1");
        registry.recordConnection("q1", NOW_NS + 2 * NS_PER_S);
        // The engine was unreachable but had not restarted.
        assertTrue(registry.recordUptime("q1", 500 * NS_PER_S, NOW_NS + 3 * NS_PER_S).isPresent());
        assertEquals(0, startedNs());
    }

    @Test
    void newAddressIsTreatedAsNewProcessAndUnchangedStateIsNotReported() {
        registry.configure(List.of(spec(1)));
        registry.recordUptime("q1", 3 * NS_PER_S, NOW_NS);
        registry.configure(List.of(spec(1)));
        assertEquals(NOW_NS - 3 * NS_PER_S, startedNs());
        registry.configure(List.of(spec(2)));
        assertEquals(0, startedNs());
        assertTrue(registry.setState("q1", EndpointState.DRAINING).isPresent());
        assertTrue(registry.setState("q1", EndpointState.DRAINING).isEmpty());
        assertTrue(registry.setState("unknown", EndpointState.DRAINING).isEmpty());
    }

    @Test
    void savedListIsLoadedAndTruncatedOrCorruptListIsDetected(@TempDir Path dir)
            throws IOException {
        Path file = dir.resolve("list");
        EndpointListStore store = new EndpointListStore(file);
        assertEquals(List.of(), store.load(NOW_NS, 5_000_000));
        List<Endpoint> list =
                List.of(
                        new Endpoint(
                                "q1", EndpointState.DRAINING, "z", "k", 3, NOW_NS - 2 * NS_PER_S),
                        new Endpoint("q2", EndpointState.READY, "z", "k", 0, 0));
        store.save(list, NOW_NS, 5_000_000);
        assertEquals(list, store.load(NOW_NS, 5_000_000));
        assertEquals(NOW_NS - 12 * NS_PER_S, store.load(NOW_NS, 5_010_000).get(0).startedNs());
        byte[] complete = Files.readAllBytes(file);
        for (int length = 0; length < complete.length; length++) {
            Files.write(file, Arrays.copyOf(complete, length));
            assertThrows(
                    IOException.class,
                    () -> store.load(NOW_NS, 5_000_000),
                    "truncated to " + length + " bytes");
        }
        for (int i = 0; i < complete.length; i++) {
            byte[] flipped = complete.clone();
            flipped[i] ^= 1;
            Files.write(file, flipped);
            assertThrows(
                    IOException.class,
                    () -> store.load(NOW_NS, 5_000_000),
                    "bit flipped in byte " + i);
        }
        store.save(list, NOW_NS, 5_000_000);
        assertFalse(Files.exists(dir.resolve("list.new")));
        assertEquals(2, store.load(NOW_NS, 5_000_000).size());
    }
}
