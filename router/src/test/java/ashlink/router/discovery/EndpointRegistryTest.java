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
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EndpointRegistryTest {

    private static final long S = 1_000_000_000L;
    private static final long NOW = 1_000_000 * S;
    private final EndpointRegistry roster = new EndpointRegistry(14 * S);

    private static EngineSpec spec(int port) {
        return new EngineSpec(
                "q1",
                InetSocketAddress.createUnresolved("h", port),
                "z",
                "k",
                0,
                EndpointState.READY);
    }

    private long started() {
        return roster.entries().get(0).startedNs();
    }

    @Test
    void anEngineThatHasBeenUpForLongIsNotCold() {
        roster.configure(List.of(spec(1)));
        assertTrue(roster.uptime("q1", 15 * S, NOW).isEmpty());
        assertEquals(0, started());
    }

    @Test
    void aShorterTimeUpTellsOfARestartAndRoundingDoesNot() {
        roster.configure(List.of(spec(1)));
        assertTrue(roster.uptime("q1", 100 * S, NOW).isEmpty());
        assertTrue(roster.uptime("q1", 3 * S, NOW).isPresent());
        assertEquals(NOW - 3 * S, started());
        assertTrue(roster.uptime("q1", 4 * S, NOW + 2 * S).isEmpty());
        assertTrue(roster.uptime("q1", 1 * S, NOW + 9 * S).isPresent());
        assertEquals(NOW + 8 * S, started());
    }

    @Test
    void aConnectionAfterOneThatFailedCountsAsAStartUntilTheEngineTellsOtherwise() {
        roster.configure(List.of(spec(1)));
        assertTrue(roster.connected("q1", NOW).isEmpty());
        roster.unreachable("q1");
        assertTrue(roster.connected("q1", NOW).isPresent());
        assertEquals(NOW, started());
        assertTrue(roster.uptime("q1", 5 * S, NOW + S).isPresent());
        assertEquals(NOW - 4 * S, started());
        assertTrue(roster.connected("q1", NOW + S).isEmpty());
        roster.unreachable("q1");
        roster.connected("q1", NOW + 2 * S);
        assertTrue(
                roster.uptime("q1", 500 * S, NOW + 3 * S)
                        .isPresent()); // it had only not been reached
        assertEquals(0, started());
    }

    @Test
    void anotherAddressIsAnotherProcessAndAPhaseIsToldOnce() {
        roster.configure(List.of(spec(1)));
        roster.uptime("q1", 3 * S, NOW);
        roster.configure(List.of(spec(1)));
        assertEquals(NOW - 3 * S, started());
        roster.configure(List.of(spec(2)));
        assertEquals(0, started());
        assertTrue(roster.phase("q1", EndpointState.DRAINING).isPresent());
        assertTrue(roster.phase("q1", EndpointState.DRAINING).isEmpty());
        assertTrue(roster.phase("unknown", EndpointState.DRAINING).isEmpty());
    }

    @Test
    void aKeptListComesBackAndATornOrDamagedOneIsFound(@TempDir Path dir) throws IOException {
        Path file = dir.resolve("list");
        EndpointListStore store = new EndpointListStore(file);
        assertEquals(List.of(), store.load(NOW, 5_000_000));
        List<Endpoint> list =
                List.of(
                        new Endpoint("q1", EndpointState.DRAINING, "z", "k", 3, NOW - 2 * S),
                        new Endpoint("q2", EndpointState.READY, "z", "k", 0, 0));
        store.save(list, NOW, 5_000_000);
        assertEquals(list, store.load(NOW, 5_000_000));
        assertEquals(NOW - 12 * S, store.load(NOW, 5_010_000).get(0).startedNs());
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            assertThrows(IOException.class, () -> store.load(NOW, 5_000_000), "cut at " + cut);
        }
        for (int i = 0; i < whole.length; i++) {
            byte[] flipped = whole.clone();
            flipped[i] ^= 1;
            Files.write(file, flipped);
            assertThrows(IOException.class, () -> store.load(NOW, 5_000_000), "flipped at " + i);
        }
        store.save(list, NOW, 5_000_000);
        assertFalse(Files.exists(dir.resolve("list.new")));
        assertEquals(2, store.load(NOW, 5_000_000).size());
    }
}
