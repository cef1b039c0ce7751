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

/** Tests fleet members that communicate over real TLS sockets. */
class ControlTest {

    private static final Duration DAY = Duration.ofDays(1);
    private static final long HOUR_MS = 3_600_000L;

    @TempDir Path dir;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, FleetMember> members = new HashMap<>();
    private final Map<String, RecordingRouter> routers = new HashMap<>();
    private CertificateAuthority authority;

    /** Records the calls of a fleet member to its router. */
    private static final class RecordingRouter implements RouterControl {
        volatile Set<String> drained = Set.of();
        volatile boolean rejecting;
        volatile boolean stopped;

        @Override
        public void setDrainedEngines(Set<String> engines) {
            drained = engines;
        }

        @Override
        public void setRejecting(boolean rejecting) {
            this.rejecting = rejecting;
        }

        @Override
        public void stop() {
            stopped = true;
        }

        @Override
        public void addStatus(ObjectNode status) {
            status.put("open", 0);
        }
    }

    @BeforeEach
    void createKeys() throws Exception {
        authority = new CertificateAuthority(dir.resolve("keys"));
        authority.renew(DAY);
        authority.issue("ann", Set.of(Role.OBSERVE, Role.DRAIN, Role.STOP), DAY);
        authority.issue("ben", Set.of(Role.OBSERVE, Role.DRAIN), DAY);
        authority.issue("eve", Set.of(Role.OBSERVE), DAY);
    }

    @AfterEach
    void closeMembers() {
        members.values().forEach(FleetMember::close);
    }

    private void startFleet(int count) throws Exception {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            addresses.put("r" + i, new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
            authority.issue("r" + i, Set.of(Role.ROUTER), DAY);
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        for (String router : addresses.keySet()) {
            start(router);
        }
    }

    private void start(String router) throws Exception {
        start(router, FolderDisk.writing(dir.resolve(router)));
    }

    private void start(String router, Disk disk) throws Exception {
        Map<String, InetSocketAddress> peers = new HashMap<>(addresses);
        peers.remove(router);
        RecordingRouter routerControl = new RecordingRouter();
        FleetMember member =
                new FleetMember(
                        new FleetMember.Spec(
                                router,
                                addresses.get(router),
                                dir.resolve(router),
                                peers,
                                SwimConfig.DEFAULT,
                                router.hashCode()),
                        new Identity(dir.resolve("keys"), router),
                        routerControl,
                        disk);
        routers.put(router, routerControl);
        members.put(router, member);
        member.start();
    }

    private void stopMember(String router) {
        members.remove(router).close();
    }

    private FleetClient client(String operator, String... receivers) throws Exception {
        Map<String, InetSocketAddress> receiverAddresses = new LinkedHashMap<>();
        for (String router :
                receivers.length == 0 ? addresses.keySet().toArray(new String[0]) : receivers) {
            receiverAddresses.put(router, addresses.get(router));
        }
        return new FleetClient(
                new Identity(dir.resolve("keys"), operator), receiverAddresses, 8, 2_000);
    }

    private OperatorCommand submit(String operator, Intent intent, String... receivers)
            throws Exception {
        try (FleetClient client = client(operator, receivers)) {
            OperatorCommand command =
                    client.nextCommand("engine:q1", operator, intent, "test", client.status());
            client.submit(command, HOUR_MS);
            return command;
        }
    }

    private static void await(String condition, BooleanSupplier isMet) throws InterruptedException {
        long deadlineNs = System.nanoTime() + 20_000_000_000L;
        while (!isMet.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError("condition not met within 20 s: " + condition);
            }
            Thread.sleep(5);
        }
    }

    private boolean allRoutersDrain(boolean drained) {
        return members.keySet().stream()
                .allMatch(router -> routers.get(router).drained.contains("q1") == drained);
    }

    // ---- Drains and stops

    @Test
    void drainSubmittedToHalfOfRoutersReachesAllDespiteDeathOfAReceiver() throws Exception {
        startFleet(6);
        submit("ann", Intent.DRAIN, "r1", "r2", "r3");
        stopMember("r1");
        await("all routers have received the drain", () -> allRoutersDrain(true));
        start("r1");
        assertTrue(
                routers.get("r1").drained.contains("q1"),
                "the restarted router reads the drain from its own disk before its first query");
        submit("ann", Intent.NONE, "r6");
        await("all routers have applied the withdrawal", () -> allRoutersDrain(false));
    }

    @Test
    void restartedRouterReceivesCommandsItMissed() throws Exception {
        startFleet(3);
        stopMember("r3");
        submit("ann", Intent.DRAIN, "r1", "r2");
        start("r3");
        await("the restarted router has received the drain", () -> allRoutersDrain(true));
    }

    @Test
    void operatorsDoNotOverrideEachOther() throws Exception {
        startFleet(3);
        OperatorCommand firstDrain = submit("ann", Intent.DRAIN);
        OperatorCommand secondDrain = submit("ann", Intent.DRAIN);
        assertEquals(firstDrain.revision() + 1, secondDrain.revision());
        submit("ben", Intent.DRAIN, "r2");
        await(
                "all routers have the drains of both operators",
                () -> {
                    try (FleetClient client = client("ann")) {
                        return client.status().values().stream()
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
        assertTrue(allRoutersDrain(true), "the drain of ben stays in force");
        try (FleetClient client = client("ann")) {
            client.submit(
                    client.nextCommand(
                            "engine:q1", "ben", Intent.NONE, "overruled", client.status()),
                    HOUR_MS);
        }
        await("all drains are withdrawn", () -> allRoutersDrain(false));
    }

    @Test
    void replayedCommandAndRestoredBackupDoNotReviveWithdrawnDrain() throws Exception {
        startFleet(3);
        OperatorCommand drain = submit("ann", Intent.DRAIN);
        await("all routers have received the drain", () -> allRoutersDrain(true));
        stopMember("r3");
        copy(dir.resolve("r3"), dir.resolve("backup"));
        submit("ann", Intent.NONE, "r1", "r2");
        await("the running routers have applied the withdrawal", () -> allRoutersDrain(false));
        try (FleetClient client = client("ann", "r1")) {
            client.submit(drain, HOUR_MS);
        }
        delete(dir.resolve("r3"));
        copy(dir.resolve("backup"), dir.resolve("r3"));
        start("r3");
        assertTrue(
                routers.get("r3").drained.contains("q1"),
                "the restored router still has the drain");
        await("the restored router has received the withdrawal", () -> allRoutersDrain(false));
        Thread.sleep(1_500);
        assertTrue(allRoutersDrain(false), "no router applies the withdrawn drain again");
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

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            for (Path path : files.toList()) {
                Files.delete(path);
            }
        }
        Files.delete(directory);
    }

    @Test
    void routerIsDrainedAndExecutesStopOnce() throws Exception {
        startFleet(2);
        try (FleetClient client = client("ann")) {
            client.submit(
                    client.nextCommand("router:r2", "ann", Intent.DRAIN, "", client.status()),
                    HOUR_MS);
            await(
                    "router r2 rejects requests",
                    () -> routers.get("r2").rejecting && !routers.get("r1").rejecting);
            client.submit(
                    client.nextCommand("router:r2", "ann", Intent.STOP, "", client.status()),
                    HOUR_MS);
            await("router r2 stops", () -> routers.get("r2").stopped);
            stopMember("r2");
            start("r2");
            Thread.sleep(1_500);
            assertFalse(
                    routers.get("r2").stopped || routers.get("r2").rejecting,
                    "a restarted router keeps running");
        }
    }

    // ---- Authorization

    private JsonNode status(Identity identity) throws IOException {
        try (ControlClient client = new ControlClient(identity, addresses.get("r1"), "r1", 2_000)) {
            return client.request(ControlCodec.op("status"));
        }
    }

    private String errorOf(FleetClient client, String subject, String owner, Intent intent)
            throws InterruptedException {
        OperatorCommand command = new OperatorCommand(subject, owner, 1, intent, owner, "");
        return client.submit(command, HOUR_MS).get("r1").error();
    }

    @Test
    void observerMayReadStatusButNotDrain() throws Exception {
        startFleet(1);
        try (FleetClient client = client("eve")) {
            assertTrue(client.status().get("r1").isReached());
            String error = errorOf(client, "engine:q1", "eve", Intent.DRAIN);
            assertTrue(error.contains("permission denied: eve requires role drain"), error);
        }
        assertTrue(routers.get("r1").drained.isEmpty());
    }

    @Test
    void drainRolePermitsNeitherStopsNorCommandsOfOtherIssuers() throws Exception {
        startFleet(1);
        try (FleetClient client = client("ben")) {
            String error = errorOf(client, "router:r1", "ben", Intent.STOP);
            assertTrue(error.contains("permission denied: ben requires role stop"), error);
            error = errorOf(client, "engine:q1", "ann", Intent.DRAIN);
            assertTrue(
                    error.contains("invalid command issuer ann: expected the sender ben"), error);
        }
        assertTrue(routers.get("r1").drained.isEmpty());
    }

    @Test
    void foreignAndExpiredCertificatesAreRejected() throws Exception {
        startFleet(1);
        CertificateAuthority foreignAuthority = new CertificateAuthority(dir.resolve("foreign"));
        foreignAuthority.renew(DAY);
        foreignAuthority.issue("ann", Set.of(Role.OBSERVE, Role.DRAIN), DAY);
        Files.copy(
                dir.resolve("keys/ca.crt"),
                dir.resolve("foreign/ca.crt"),
                StandardCopyOption.REPLACE_EXISTING);
        Identity foreignIdentity = new Identity(dir.resolve("foreign"), "ann");
        assertThrows(IOException.class, () -> status(foreignIdentity));
        authority.issue("old", Set.of(Role.OBSERVE), Duration.ofMinutes(-10));
        Identity expiredIdentity = new Identity(dir.resolve("keys"), "old");
        assertThrows(IOException.class, () -> status(expiredIdentity));
        assertTrue(routers.get("r1").drained.isEmpty());
    }

    @Test
    void bothAuthoritiesAreTrustedDuringRenewal() throws Exception {
        startFleet(1);
        Files.createDirectories(dir.resolve("before"));
        copy(dir.resolve("keys"), dir.resolve("before"));
        authority.renew(DAY);
        authority.issue("r2", Set.of(Role.ROUTER), DAY);
        authority.issue("ann", Set.of(Role.OBSERVE), DAY);
        stopMember("r1");
        start("r1"); // presents its old certificate and trusts both authorities
        Identity newIdentity = new Identity(dir.resolve("keys"), "ann");
        assertEquals(
                "r1",
                status(newIdentity).get("router").asText(),
                "certificate of the new authority");
        Identity oldIdentity = new Identity(dir.resolve("before"), "eve");
        assertEquals(
                "r1",
                status(oldIdentity).get("router").asText(),
                "certificate of the old authority");
        authority.retire();
        authority.issue("r1", Set.of(Role.ROUTER), DAY);
        stopMember("r1");
        start("r1");
        Identity retiredIdentity = new Identity(dir.resolve("before"), "eve");
        assertThrows(
                IOException.class,
                () -> status(retiredIdentity),
                "the old authority is no longer trusted");
    }

    @Test
    void malformedFrameClosesOnlyItsConnection() throws Exception {
        startFleet(2);
        try (Socket socket = new Socket("127.0.0.1", addresses.get("r1").getPort())) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
            socket.setSoTimeout(10_000);
            while (socket.getInputStream().read() >= 0) {
                // Skips the TLS alert that precedes the end of the stream.
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
            try (SSLSocket socket =
                    (SSLSocket)
                            ann.context()
                                    .getSocketFactory()
                                    .createSocket("127.0.0.1", addresses.get("r1").getPort())) {
                socket.setSoTimeout(10_000);
                OutputStream out = socket.getOutputStream();
                out.write(bytes);
                out.flush();
                assertEquals(-1, socket.getInputStream().read(), "the connection is closed");
            }
        }
        submit("ben", Intent.DRAIN, "r1");
        await("a command of another connection is applied", () -> allRoutersDrain(true));
    }

    @Test
    void floodOfFramesDoesNotBlockOtherConnections() throws Exception {
        startFleet(2);
        Identity ann = new Identity(dir.resolve("keys"), "ann");
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try (ControlClient client =
                                        new ControlClient(ann, addresses.get("r1"), "r1", 5_000)) {
                                    for (int frame = 0; frame < 2_000; frame++) {
                                        client.send(ControlCodec.op("nonsense"));
                                    }
                                } catch (IOException e) {
                                    // The server may close the connection before all frames are
                                    // sent.
                                }
                            });
            thread.start();
            senders.add(thread);
        }
        submit("ben", Intent.DRAIN, "r1");
        await("a command of another connection is applied", () -> allRoutersDrain(true));
        for (Thread thread : senders) {
            thread.interrupt();
        }
    }

    @Test
    void drainTakesEffectWithFullDiskAndBecomesDurableOnceDiskIsWritable() throws Exception {
        startFleet(2);
        stopMember("r1");
        FaultyDisk disk = new FaultyDisk();
        start("r1", disk);
        disk.full(true);
        OperatorCommand command =
                new OperatorCommand("engine:q1", "ann", 1, Intent.DRAIN, "ann", "");
        try (FleetClient client = client("ann", "r1")) {
            JsonNode response = client.submit(command, HOUR_MS).get("r1").answer();
            assertFalse(
                    response.get("durable").asBoolean(),
                    "the response reports that the command is not durable");
            await("both routers drain the engine", () -> allRoutersDrain(true));
            disk.full(false);
            Map<String, Result> statuses =
                    client.awaitStatus(
                            1,
                            20_000_000_000L,
                            result ->
                                    result.isReached()
                                            && result.answer().get("durable").asBoolean());
            assertTrue(statuses.get("r1").answer().get("durable").asBoolean());
        }
        stopMember("r2"); // so that r1 can only read the command from its own disk
        stopMember("r1");
        start("r1", disk);
        assertTrue(routers.get("r1").drained.contains("q1"));
    }
}
