package ashlink.decisions;

import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event.EndpointsChanged;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the known engines after changes of the endpoint list. */
class EngineDirectoryTest {

    private final EngineDirectory engines =
            new EngineDirectory(List.of(new EngineKind("big", 16, 64_000)));
    private final List<String> restarted = new ArrayList<>();

    private void apply(EndpointListKind kind, Endpoint... endpoints) {
        engines.apply(
                new EndpointsChanged(kind, List.of(endpoints)),
                engine -> restarted.add(engine.name));
    }

    private static Endpoint endpoint(String name, EndpointState state, long startedNs) {
        return RouterHarness.endpoint(name, "z1", "big", state, startedNs);
    }

    @Test
    void listedEngineHasTheResourcesOfItsKind() {
        apply(EndpointListKind.SNAPSHOT, RouterHarness.readyEndpoint("a"));
        assertEquals(16, engines.find("a").cores);
        assertEquals(64_000, engines.find("a").memoryMb);
        assertEquals(List.of(engines.find("a")), engines.ready());
    }

    @Test
    void snapshotReplacesTheListAndADeltaDoesNot() {
        apply(
                EndpointListKind.SNAPSHOT,
                RouterHarness.readyEndpoint("a"),
                RouterHarness.readyEndpoint("b"));
        apply(EndpointListKind.DELTA, RouterHarness.readyEndpoint("c"));
        assertEquals(3, engines.ready().size());
        apply(EndpointListKind.SNAPSHOT, RouterHarness.readyEndpoint("c"));
        assertEquals(List.of(engines.find("c")), engines.ready());
        assertNull(engines.find("a").endpoint);
    }

    @Test
    void drainingEngineIsListedButNotReady() {
        apply(EndpointListKind.SNAPSHOT, endpoint("a", EndpointState.DRAINING, 0));
        assertNotNull(engines.find("a").endpoint);
        assertTrue(engines.ready().isEmpty());
    }

    @Test
    void laterStartTimeIsARestart() {
        apply(EndpointListKind.SNAPSHOT, endpoint("a", EndpointState.READY, 5));
        engines.find("a").errorFraction = 0.9;
        apply(EndpointListKind.DELTA, endpoint("a", EndpointState.READY, 5));
        assertEquals(0.9, engines.find("a").errorFraction);
        apply(EndpointListKind.DELTA, endpoint("a", EndpointState.READY, 6));
        assertEquals(0, engines.find("a").errorFraction);
        assertEquals(List.of("a", "a"), restarted);
    }

    @Test
    void unlistedEngineIsKeptWhileItHasLoad() {
        apply(EndpointListKind.SNAPSHOT, RouterHarness.readyEndpoint("a"));
        EngineState engine = engines.find("a");
        QueryState query = TestStates.query(1, RouterHarness.shortClass("lookup"));
        TestStates.start(query, engine, NOW_NS);
        apply(EndpointListKind.SNAPSHOT);
        engines.removeUnused();
        assertNotNull(engines.find("a"));
        engine.runningQueries.remove(query);
        engine.abandonedAttempts.add(new AbandonedAttempt(NOW_NS + 10, query));
        engines.removeUnused();
        assertNotNull(engines.find("a"));
        engine.releaseExpired(NOW_NS + 10);
        engines.removeUnused();
        assertNull(engines.find("a"));
    }

    @Test
    void abandonedAttemptCountsAsLoadUntilItExpires() {
        EngineState engine = TestStates.engine("a");
        QueryState query = TestStates.query(1, RouterHarness.shortClass("lookup"));
        TestStates.start(query, engine, NOW_NS);
        engine.abandonedAttempts.add(new AbandonedAttempt(NOW_NS + 10, query));
        engine.releaseExpired(NOW_NS + 9);
        assertEquals(1, engine.threads);
        engine.releaseExpired(NOW_NS + 10);
        assertEquals(0, engine.threads);
        assertEquals(0, engine.workMs);
    }
}
