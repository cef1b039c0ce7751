package ashlink.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.log.Disk;
import ashlink.capture.log.FaultyDisk;
import ashlink.capture.log.FolderDisk;
import ashlink.control.channel.ControlClient;
import ashlink.control.member.ControlCodec;
import ashlink.control.member.FleetMember;
import ashlink.control.member.RouterControl;
import ashlink.control.tls.CertificateAuthority;
import ashlink.control.tls.Identity;
import ashlink.control.tls.Role;
import ashlink.control.tool.FleetClient;
import ashlink.control.tool.FleetClient.Result;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.membership.SwimConfig;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Fleet members on real sockets. */
class ControlTest {

    private static final Duration DAY = Duration.ofDays(1);
    private static final long HOUR_MS = 3_600_000L;

    @TempDir Path dir;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, FleetMember> nodes = new HashMap<>();
    private final Map<String, Fake> routers = new HashMap<>();
    private CertificateAuthority authority;

    /** A router that records the calls. */
    private static final class Fake implements RouterControl {
        volatile Set<String> drained = Set.of();
        volatile boolean refuses;
        volatile boolean stopped;

        @Override
        public void setDrainedEngines(Set<String> engines) {
            drained = engines;
        }

        @Override
        public void setRejecting(boolean refuse) {
            refuses = refuse;
        }

        @Override
        public void stop() {
            stopped = true;
        }

        @Override
        public void addStatus(ObjectNode to) {
            to.put("open", 0);
        }
    }

    @BeforeEach
    void keys() throws Exception {
        authority = new CertificateAuthority(dir.resolve("keys"));
        authority.renew(DAY);
        authority.issue("ann", Set.of(Role.OBSERVE, Role.DRAIN, Role.STOP), DAY);
        authority.issue("ben", Set.of(Role.OBSERVE, Role.DRAIN), DAY);
        authority.issue("eve", Set.of(Role.OBSERVE), DAY);
    }

    @AfterEach
    void end() {
        nodes.values().forEach(FleetMember::close);
    }

    private void fleet(int count) throws Exception {
        List<ServerSocket> free = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            ServerSocket serverSocket = new ServerSocket(0);
            free.add(serverSocket);
            addresses.put("r" + i, new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort()));
            authority.issue("r" + i, Set.of(Role.ROUTER), DAY);
        }
        for (ServerSocket serverSocket : free) {
            serverSocket.close();
        }
        for (String text : addresses.keySet()) {
            start(text);
        }
    }

    private void start(String text) throws Exception {
        start(text, FolderDisk.writing(dir.resolve(text)));
    }

    private void start(String text, Disk disk) throws Exception {
        Map<String, InetSocketAddress> peers = new HashMap<>(addresses);
        peers.remove(text);
        Fake router = new Fake();
        FleetMember fleetMember =
                new FleetMember(
                        new FleetMember.Spec(
                                text,
                                addresses.get(text),
                                dir.resolve(text),
                                peers,
                                SwimConfig.DEFAULT,
                                text.hashCode()),
                        new Identity(dir.resolve("keys"), text),
                        router,
                        disk);
        routers.put(text, router);
        nodes.put(text, fleetMember);
        fleetMember.start();
    }

    private void kill(String text) {
        nodes.remove(text).close();
    }

    private FleetClient tool(String operator, String... reached) throws Exception {
        Map<String, InetSocketAddress> of = new LinkedHashMap<>();
        for (String text :
                reached.length == 0 ? addresses.keySet().toArray(new String[0]) : reached) {
            of.put(text, addresses.get(text));
        }
        return new FleetClient(new Identity(dir.resolve("keys"), operator), of, 8, 2_000);
    }

    private OperatorCommand submit(String operator, Intent intent, String... reached)
            throws Exception {
        try (FleetClient fleetClient = tool(operator, reached)) {
            OperatorCommand operatorCommand =
                    fleetClient.nextCommand(
                            "engine:q1", operator, intent, "test", fleetClient.status());
            fleetClient.submit(operatorCommand, HOUR_MS);
            return operatorCommand;
        }
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("waited in vain for: " + what);
            }
            Thread.sleep(5);
        }
    }

    private boolean all(boolean drained) {
        return nodes.keySet().stream()
                .allMatch(text -> routers.get(text).drained.contains("q1") == drained);
    }

    // ---- Drains
    @Test
    void drainSubmittedToHalfReachesAllThoughAReceiverDies() throws Exception {
        fleet(6);
        submit("ann", Intent.DRAIN, "r1", "r2", "r3");
        kill("r1");
        await("all know it", () -> all(true));
        start("r1");
        assertTrue(
                routers.get("r1").drained.contains("q1"),
                "before its first query, from its own disk");
        submit("ann", Intent.NONE, "r6");
        await("all know that it is over", () -> all(false));
    }

    @Test
    void restartedRouterReceivesCommandsItMissed() throws Exception {
        fleet(3);
        kill("r3");
        submit("ann", Intent.DRAIN, "r1", "r2");
        start("r3");
        await("it is told", () -> all(true));
    }

    @Test
    void operatorsDoNotOverrideEachOther() throws Exception {
        fleet(3);
        OperatorCommand first = submit("ann", Intent.DRAIN);
        OperatorCommand again = submit("ann", Intent.DRAIN);
        assertEquals(first.revision() + 1, again.revision());
        submit("ben", Intent.DRAIN, "r2");
        await(
                "all know both",
                () -> {
                    try (FleetClient fleetClient = tool("ann")) {
                        return fleetClient.status().values().stream()
                                .allMatch(
                                        result -> {
                                            try {
                                                return FleetClient.activeOwners(
                                                                "engine:q1", Map.of("r", result))
                                                        .equals(List.of("ann", "ben"));
                                            } catch (IOException e) {
                                                return false;
                                            }
                                        });
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
        submit("ann", Intent.NONE);
        Thread.sleep(300);
        assertTrue(all(true), "ben still wants it");
        try (FleetClient fleetClient = tool("ann")) {
            fleetClient.submit(
                    fleetClient.nextCommand(
                            "engine:q1", "ben", Intent.NONE, "overruled", fleetClient.status()),
                    HOUR_MS);
        }
        await("nobody wants it", () -> all(false));
    }

    @Test
    void replayedCommandAndRestoredBackupChangeNothing() throws Exception {
        fleet(3);
        OperatorCommand drain = submit("ann", Intent.DRAIN);
        await("all know it", () -> all(true));
        kill("r3");
        copy(dir.resolve("r3"), dir.resolve("backup"));
        submit("ann", Intent.NONE, "r1", "r2");
        await("the others know that it is over", () -> all(false));
        try (FleetClient fleetClient = tool("ann", "r1")) {
            fleetClient.submit(drain, HOUR_MS);
        }
        delete(dir.resolve("r3"));
        copy(dir.resolve("backup"), dir.resolve("r3"));
        start("r3");
        assertTrue(routers.get("r3").drained.contains("q1"), "it cannot know better yet");
        await("it learns that it is over", () -> all(false));
        Thread.sleep(1_500);
        assertTrue(all(false), "and nobody believes the old again");
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path path : files.toList()) {
                Files.copy(
                        path, to.resolve(path.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path path : files.toList()) {
                Files.delete(path);
            }
        }
        Files.delete(folder);
    }

    @Test
    void routerIsDrainedAndExecutesStopOnce() throws Exception {
        fleet(2);
        try (FleetClient fleetClient = tool("ann")) {
            fleetClient.submit(
                    fleetClient.nextCommand(
                            "router:r2", "ann", Intent.DRAIN, "", fleetClient.status()),
                    HOUR_MS);
            await("it refuses", () -> routers.get("r2").refuses && !routers.get("r1").refuses);
            fleetClient.submit(
                    fleetClient.nextCommand(
                            "router:r2", "ann", Intent.STOP, "", fleetClient.status()),
                    HOUR_MS);
            await("it stops", () -> routers.get("r2").stopped);
            kill("r2");
            start("r2");
            Thread.sleep(1_500);
            assertFalse(
                    routers.get("r2").stopped || routers.get("r2").refuses,
                    "who is started again stays");
        }
    }

    // ---- Authorization

    private JsonNode status(Identity identity) throws IOException {
        try (ControlClient controlClient =
                new ControlClient(identity, addresses.get("r1"), "r1", 2_000)) {
            return controlClient.request(ControlCodec.op("status"));
        }
    }

    private String errorOf(FleetClient client, String subject, String owner, Intent intent)
            throws InterruptedException {
        OperatorCommand command = new OperatorCommand(subject, owner, 1, intent, owner, "");
        return client.submit(command, HOUR_MS).get("r1").error();
    }

    @Test
    void observerMayReadStatusAndNotDrain() throws Exception {
        fleet(1);
        try (FleetClient fleetClient = tool("eve")) {
            assertTrue(fleetClient.status().get("r1").isReached());
            String error = errorOf(fleetClient, "engine:q1", "eve", Intent.DRAIN);
            assertTrue(error.contains("permission denied: eve requires role drain"), error);
        }
        assertTrue(routers.get("r1").drained.isEmpty());
    }

    @Test
    void drainerMayNotStopNorIssueCommandsOfOthers() throws Exception {
        fleet(1);
        try (FleetClient fleetClient = tool("ben")) {
            String error = errorOf(fleetClient, "router:r1", "ben", Intent.STOP);
            assertTrue(error.contains("permission denied: ben requires role stop"), error);
            error = errorOf(fleetClient, "engine:q1", "ann", Intent.DRAIN);
            assertTrue(error.contains("invalid command issuer ann: expected the sender ben"), error);
        }
        assertTrue(routers.get("r1").drained.isEmpty());
    }

    @Test
    void foreignAndExpiredCertificatesAreRejected() throws Exception {
        fleet(1);
        CertificateAuthority foreign = new CertificateAuthority(dir.resolve("foreign"));
        foreign.renew(DAY);
        foreign.issue("ann", Set.of(Role.OBSERVE, Role.DRAIN), DAY);
        Files.copy(
                dir.resolve("keys/ca.crt"),
                dir.resolve("foreign/ca.crt"),
                StandardCopyOption.REPLACE_EXISTING);
        Identity stranger = new Identity(dir.resolve("foreign"), "ann");
        assertThrows(IOException.class, () -> status(stranger));
        authority.issue("old", Set.of(Role.OBSERVE), Duration.ofMinutes(-10));
        Identity expired = new Identity(dir.resolve("keys"), "old");
        assertThrows(IOException.class, () -> status(expired));
        assertTrue(routers.get("r1").drained.isEmpty());
    }

    @Test
    void bothAuthoritiesAreTrustedDuringRenewal() throws Exception {
        fleet(1);
        Files.createDirectories(dir.resolve("before"));
        copy(dir.resolve("keys"), dir.resolve("before"));
        authority.renew(DAY);
        authority.issue("r2", Set.of(Role.ROUTER), DAY);
        authority.issue("ann", Set.of(Role.OBSERVE), DAY);
        kill("r1");
        start("r1"); // shows its old certificate, and trusts both authorities
        Identity renewed = new Identity(dir.resolve("keys"), "ann");
        assertEquals("r1", status(renewed).get("router").asText(), "a new operator");
        Identity old = new Identity(dir.resolve("before"), "eve");
        assertEquals("r1", status(old).get("router").asText(), "an old one");
        authority.retire();
        authority.issue("r1", Set.of(Role.ROUTER), DAY);
        kill("r1");
        start("r1");
        Identity retired = new Identity(dir.resolve("before"), "eve");
        assertThrows(
                IOException.class,
                () -> status(retired),
                "the old authority is not trusted any more");
    }

    @Test
    void malformedFramesEndOnlyTheirConnection() throws Exception {
        fleet(2);
        try (Socket plain = new Socket("127.0.0.1", addresses.get("r1").getPort())) {
            plain.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
            plain.setSoTimeout(10_000);
            while (plain.getInputStream().read() >= 0) {
                // an alert, then the end
            }
        }
        Identity ann = new Identity(dir.resolve("keys"), "ann");
        for (byte[] bytes :
                new byte[][] {
                    {0x7f, 0, 0, 0},
                    {0, 0, 0, 2, '[', ']'},
                    {0, 0, 0, 3, '{', '{', '{'},
                    {-1, -1, -1, -1}
                }) {
            try (SSLSocket sSLSocket =
                    (SSLSocket)
                            ann.context()
                                    .getSocketFactory()
                                    .createSocket("127.0.0.1", addresses.get("r1").getPort())) {
                sSLSocket.setSoTimeout(10_000);
                OutputStream out = sSLSocket.getOutputStream();
                out.write(bytes);
                out.flush();
                assertEquals(-1, sSLSocket.getInputStream().read(), "closed");
            }
        }
        submit("ben", Intent.DRAIN, "r1");
        await("a command comes through", () -> all(true));
    }

    @Test
    void floodDoesNotKeepOutOtherConnections() throws Exception {
        fleet(2);
        Identity ann = new Identity(dir.resolve("keys"), "ann");
        List<Thread> flood = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try (ControlClient controlClient =
                                        new ControlClient(ann, addresses.get("r1"), "r1", 5_000)) {
                                    for (int n = 0; n < 2_000; n++) {
                                        controlClient.send(ControlCodec.op("nonsense"));
                                    }
                                } catch (IOException e) {
                                    // cut off
                                }
                            });
            thread.start();
            flood.add(thread);
        }
        submit("ben", Intent.DRAIN, "r1");
        await("a command comes through", () -> all(true));
        for (Thread thread : flood) {
            thread.interrupt();
        }
    }

    @Test
    void drainIsInForceOnFullDiskAndDurableOnceWritable() throws Exception {
        fleet(2);
        kill("r1");
        FaultyDisk disk = new FaultyDisk();
        start("r1", disk);
        disk.full(true);
        OperatorCommand operatorCommand =
                new OperatorCommand("engine:q1", "ann", 1, Intent.DRAIN, "ann", "");
        try (FleetClient fleetClient = tool("ann", "r1")) {
            JsonNode known = fleetClient.submit(operatorCommand, HOUR_MS).get("r1").answer();
            assertFalse(
                    known.get("durable").asBoolean(),
                    "and the operator is told that it is not safe");
            await("both drain", () -> all(true));
            disk.full(false);
            Map<String, Result> later =
                    fleetClient.awaitStatus(
                            1,
                            20_000_000_000L,
                            result ->
                                    result.isReached()
                                            && result.answer().get("durable").asBoolean());
            assertTrue(later.get("r1").answer().get("durable").asBoolean());
        }
        kill("r2"); // so that nobody else tells it
        kill("r1");
        start("r1", disk);
        assertTrue(routers.get("r1").drained.contains("q1"));
    }
}
