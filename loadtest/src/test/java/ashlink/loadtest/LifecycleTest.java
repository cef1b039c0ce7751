package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.config.ConfigException;
import ashlink.config.RouterConfigReader;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.client.Reply.Kind;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Drains of engines; restarts, stops and reloads of a router. */
class LifecycleTest {

    private static final long NS_PER_SECOND = TestFleet.NS_PER_SECOND;

    @Test
    void queuedQueriesAreNotSentToADrainingEngine() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with("(bounds (engine-connections 4))").start()) {
            List<NativeClient> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                NativeClient nativeClient = fleet.client("portal");
                nativeClient.sendQuery(
                        "",
                        "SELECT /* sim work_ms=300 tag=t" + i + " */ 2",
                        Map.of("max_execution_time", "2"));
                clients.add(nativeClient);
            }
            TestFleet.await("the first queries to run", () -> fleet.ledger().size() >= 4);
            fleet.router.setEngineState("q1", EndpointState.DRAINING);
            long drainedNs = System.nanoTime();
            int rejected = 0;
            for (NativeClient nativeClient : clients) {
                Reply reply = nativeClient.await(List.of(), System.nanoTime() + 3 * NS_PER_SECOND);
                assertTrue(reply.kind() == Kind.SERVED || reply.code() == 202, reply.toString());
                rejected += reply.code() == 202 ? 1 : 0;
            }
            assertTrue(rejected > 0, "no query was queued at the time of the drain");
            long lateQueries =
                    fleet.ledger().stream()
                            .filter(entry -> entry.beganNs > drainedNs + 1000 * TestFleet.NS_PER_MS)
                            .count();
            assertEquals(
                    0,
                    lateQueries,
                    "queries started more than 1 s after the drain; the grace period is 2 s");
        }
    }

    @Test
    void restartedRouterReportsItsCachedEndpointListFirst(@TempDir Path dir) throws Exception {
        String stateSetting = "(state-dir \"" + dir + "\")";
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-b").with(stateSetting).start()) {
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
            fleet.router.setEngineState("q2", EndpointState.DRAINING);
            fleet.router.stop();
            List<EndpointsChanged> endpointEvents = Collections.synchronizedList(new ArrayList<>());
            Router restartedRouter =
                    new Router(
                            TestSettings.of(
                                    "r1",
                                    "halle-1",
                                    0,
                                    1,
                                    7,
                                    0,
                                    fleet.engines.values(),
                                    stateSetting));
            restartedRouter
                    .core()
                    .observe(
                            (event, now, actions) -> {
                                if (event instanceof EndpointsChanged endpointsChanged) {
                                    endpointEvents.add(endpointsChanged);
                                }
                            });
            restartedRouter.start();
            TestFleet.await("the endpoint lists", () -> endpointEvents.size() >= 2);
            restartedRouter.kill();
            assertEquals(EndpointListKind.CACHED, endpointEvents.get(0).kind());
            assertEquals(EndpointState.DRAINING, endpointEvents.get(0).endpoints().get(1).state());
            assertEquals(EndpointListKind.SNAPSHOT, endpointEvents.get(1).kind());
        }
    }

    @Test
    void stopLetsShortQueriesFinishAndAnswersTheOthers() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with("(bounds (stop 600ms))").start()) {
            NativeClient shortQueryClient = fleet.client("portal");
            NativeClient longQueryClient = fleet.client("portal");
            NativeClient insertClient = fleet.client("portal");
            shortQueryClient.sendQuery("", "SELECT /* sim work_ms=300 tag=quick */ 2", Map.of());
            longQueryClient.sendQuery("", "SELECT /* sim work_ms=60000 tag=slow */ 2", Map.of());
            insertClient.sendQuery(
                    "", "INSERT /* sim work_ms=60000 tag=load */ INTO t SELECT 1", Map.of());
            TestFleet.await("all queries to run", () -> fleet.ledger().size() == 3);
            fleet.router.stop();
            assertEquals(
                    Kind.SERVED,
                    shortQueryClient.await(List.of(), System.nanoTime() + NS_PER_SECOND).kind());
            assertEquals(
                    202,
                    longQueryClient.await(List.of(), System.nanoTime() + NS_PER_SECOND).code());
            assertEquals(
                    210, insertClient.await(List.of(), System.nanoTime() + NS_PER_SECOND).code());
            assertThrows(java.io.IOException.class, () -> fleet.client("portal"));
        }
    }

    @Test
    void reloadAddsEnginesAndAnInvalidFileChangesNothing(@TempDir Path dir) throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            Path file = dir.resolve("r1.sexp");
            fleet.engine("q2", "typ-b", true);
            Files.writeString(
                    file,
                    TestSettings.text(
                            "r1", "halle-1", 0, 1, 7, 0, List.of(fleet.engine("q2")), ""));
            fleet.router.reload(RouterConfigReader.read(file));
            fleet.engine("q1").crash();
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT /* sim tag=t */ 2").kind());
            assertEquals("q2", fleet.ledger().get(0).engine);
            Files.writeString(file, "(router (nmae r1) (gateways none)");
            assertThrows(ConfigException.class, () -> RouterConfigReader.read(file));
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        }
    }
}
