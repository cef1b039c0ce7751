package ashlink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.control.tls.CertificateAuthority;
import ashlink.control.tls.Role;
import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.fixture.EmulatedEngines;
import ashlink.loadtest.fixture.TestSettings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Routers as processes of their own, under load, handled by the tool: a drain that reaches half of
 * them, one of which is killed at once; the engines' ledgers tell when the last fresh work came.
 */
class FleetProcessTest {

    private static final int ROUTERS = Integer.getInteger("ashlink.routers", 4);
    private static final int DRAINS = Integer.getInteger("ashlink.drains", 2);
    private static final long S = 1_000_000_000L;

    /**
     * The rule is 2 s; where the test runs beside others on a machine that may be starved, it asks
     * for less.
     */
    private static final long GRACE_NS = DRAINS > 2 ? 2 * S : 4 * S;

    private static final Duration DAY = Duration.ofDays(1);

    private final List<Integer> ports = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final AtomicBoolean over = new AtomicBoolean();

    private static final ByteArrayOutputStream SAID = new ByteArrayOutputStream();

    private static int[] free(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            held.add(new ServerSocket(0));
            ports[i] = held.get(i).getLocalPort();
        }
        for (ServerSocket serverSocket : held) {
            serverSocket.close();
        }
        return ports;
    }

    /** Keys, settings of so many routers, and the inventory. */
    private void setUp(Path dir, List<EmulatedEngine> engines, int routers) throws Exception {
        CertificateAuthority authority = new CertificateAuthority(dir.resolve("keys"));
        authority.renew(DAY);
        authority.issue("ann", Set.of(Role.OBSERVE, Role.DRAIN, Role.STOP), DAY);
        int[] free = free(2 * routers);
        StringBuilder inventory = new StringBuilder("(fleet (keys \"keys\") (operator ann)\n");
        for (int i = 0; i < routers; i++) {
            ports.add(free[2 * i]);
            authority.issue("r" + i, Set.of(Role.ROUTER), DAY);
            StringBuilder peers = new StringBuilder();
            for (int j = 0; j < routers; j++) {
                if (j != i) {
                    peers.append(" (peer r")
                            .append(j)
                            .append(" (address 127.0.0.1:")
                            .append(free[2 * j + 1])
                            .append("))");
                }
            }
            Files.writeString(
                    dir.resolve("r" + i + ".sexp"),
                    TestSettings.text(
                            "r" + i,
                            "halle-1",
                            i,
                            routers,
                            7 + i,
                            free[2 * i],
                            engines,
                            "(state-dir \""
                                    + dir.resolve("r" + i)
                                    + "\") (control (listen 127.0.0.1:"
                                    + free[2 * i + 1]
                                    + ") (keys \""
                                    + dir.resolve("keys")
                                    + "\")"
                                    + peers
                                    + ")"));
            inventory
                    .append("  (router r")
                    .append(i)
                    .append(" (hall halle-")
                    .append(1 + i % 3)
                    .append(") (control 127.0.0.1:")
                    .append(free[2 * i + 1])
                    .append("))\n");
        }
        Files.writeString(dir.resolve("fleet.sexp"), inventory.append(")\n").toString());
    }

    private Process launch(Path dir, int i) throws IOException {
        return new ProcessBuilder(
                        SuperviseCommand.commandLine(
                                "--log-level",
                                "ERROR",
                                "route",
                                dir.resolve("r" + i + ".sexp").toString()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static int fleet(Path dir, String... arguments) {
        List<String> all = new ArrayList<>(List.of("fleet"));
        all.addAll(List.of(arguments));
        all.addAll(List.of("--inventory", dir.resolve("fleet.sexp").toString()));
        PrintStream out = System.out;
        try {
            SAID.reset();
            System.setOut(new PrintStream(SAID));
            return new CommandLine(new Main())
                    .setCaseInsensitiveEnumValuesAllowed(true)
                    .execute(all.toArray(new String[0]));
        } finally {
            System.setOut(out);
        }
    }

    /** Short queries on all routers, until it is over; connections that break are made again. */
    private void load(int i) {
        while (!over.get()) {
            try (NativeClient nativeClient =
                    NativeClient.connect(
                            new InetSocketAddress("127.0.0.1", ports.get(i)), "portal")) {
                while (!over.get()
                        && nativeClient
                                .query(
                                        "",
                                        "SELECT /* sim tag=load work_ms=10 */ 1",
                                        Map.of(),
                                        5 * S)
                                .isFinal()) {
                    Thread.sleep(4);
                }
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** When the last fresh work came there: of that router, or of all others. */
    private static long lastFresh(EmulatedEngine emulatedEngine, String router, boolean of) {
        return emulatedEngine.ledger().entries().stream()
                .filter(
                        entry ->
                                entry.tag.equals("load")
                                        && entry.router.equals("ashlink " + router) == of)
                .mapToLong(entry -> entry.beganNs)
                .max()
                .orElse(0);
    }

    /** When the first router had the notice, by the tool's own record. */
    private static long firstToldNs() throws IOException {
        long first = Long.MAX_VALUE;
        for (JsonNode node : new ObjectMapper().readTree(SAID.toByteArray())) {
            first = Math.min(first, node.path("toldAtMs").asLong(Long.MAX_VALUE));
        }
        return System.nanoTime() - (System.currentTimeMillis() - first) * 1_000_000;
    }

    /** Sends a signal to the process of a router; an empty name is none. */
    private void signal(String name, String router) throws IOException, InterruptedException {
        if (!router.isEmpty()) {
            long pid = processes.get(Integer.parseInt(router.substring(1))).pid();
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor());
        }
    }

    @Test
    void noFreshWorkTwoSecondsAfterADrainThatReachedHalf(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        setUp(dir, engines, ROUTERS);
        List<Thread> clients = new ArrayList<>();
        List<Long> times = new ArrayList<>();
        try {
            for (int i = 0; i < ROUTERS; i++) {
                processes.add(launch(dir, i));
            }
            long until = System.nanoTime() + 90 * S;
            while (fleet(dir, "status") != 0 && System.nanoTime() < until) {
                Thread.sleep(200);
            }
            for (int i = 0; i < ROUTERS; i++) {
                int n = i;
                Thread thread = new Thread(() -> load(n), "load");
                thread.setDaemon(true);
                thread.start();
                clients.add(thread);
            }
            for (int d = 0; d < DRAINS; d++) {
                EmulatedEngine engine = busiest(engines);
                String name = engine.config().name();
                List<String> half =
                        new ArrayList<>(List.of("drain", name, "--wait", "0", "--for", "1"));
                for (int i = 0; i < (ROUTERS + 1) / 2; i++) {
                    half.addAll(List.of("--router", "r" + i));
                }
                String paused = d % 2 == 0 ? "" : "r" + (ROUTERS - 1);
                signal("STOP", paused);
                half.add("--json");
                fleet(dir, half.toArray(new String[0]));
                long noticeNs = firstToldNs();
                long toldNs = noticeNs;
                if (paused.isEmpty()) {
                    processes.get(0).destroyForcibly(); // it knew of the drain
                    processes.get(0).waitFor(20, TimeUnit.SECONDS);
                    processes.set(0, launch(dir, 0)); // and is back while it holds
                } else {
                    Thread.sleep(3_000); // it stood still, and comes back with old beliefs
                    toldNs = System.nanoTime();
                    signal("CONT", paused);
                }
                Thread.sleep(4_500);
                long last = lastFresh(engine, paused, false);
                times.add((last - noticeNs) / 1_000_000);
                assertTrue(
                        last < noticeNs + GRACE_NS,
                        () ->
                                "fresh work at "
                                        + name
                                        + " after the notice, in ms by router: "
                                        + engine.ledger().entries().stream()
                                                .filter(
                                                        entry ->
                                                                entry.tag.equals("load")
                                                                        && entry.beganNs > noticeNs)
                                                .map(
                                                        entry ->
                                                                entry.router
                                                                        + " "
                                                                        + (entry.beganNs - noticeNs)
                                                                                / 1_000_000)
                                                .toList());
                assertTrue(
                        lastFresh(engine, paused, true) < toldNs + GRACE_NS,
                        "of the one that stood still");
                assertEquals(0, fleet(dir, "undrain", name), "all know that it is over");
            }
            processes.get(1).destroyForcibly().waitFor(20, TimeUnit.SECONDS);
            assertEquals(3, fleet(dir, "status", "--timeout", "1"), "some, not all");
            assertEquals(4, fleet(dir, "status", "--timeout", "1", "--router", "r1"), "none");
        } finally {
            over.set(true);
            for (Thread thread : clients) {
                thread.join(10_000);
            }
            for (Process process : processes) {
                process.destroyForcibly().waitFor(20, TimeUnit.SECONDS);
            }
            engines.forEach(EmulatedEngine::crash);
        }
        System.out.printf(
                "%d routers, %d drains that reached half of them, one of these killed at once or"
                    + " one of the others paused for 3 s: last fresh work after the notice, in ms:"
                    + " %s%n",
                ROUTERS, DRAINS, times);
    }

    private static long pid(Path dir, String router) throws IOException {
        String text = Files.readString(dir.resolve(router).resolve("router.pid")).trim();
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    @Test
    void routersAreStartedRolledRevivedAndStopped(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        setUp(dir, engines, 2);
        Set<ProcessHandle> before =
                ProcessHandle.current().descendants().collect(Collectors.toSet());
        try {
            assertEquals(0, fleet(dir, "start", "--wait-timeout", "60"));
            long first = pid(dir, "r0");
            Process twin = launch(dir, 0);
            assertTrue(twin.waitFor(60, TimeUnit.SECONDS));
            assertEquals(1, twin.exitValue(), "one a state folder");
            assertEquals(0, fleet(dir, "restart", "--wait-timeout", "60", "--up", "1"));
            long second = pid(dir, "r0");
            assertTrue(first != second && ProcessHandle.of(first).isEmpty(), "another process");
            assertTrue(second > 0);
            ProcessHandle.of(second).orElseThrow().destroyForcibly();
            long until = System.nanoTime() + 60 * S;
            while ((pid(dir, "r0") == second || fleet(dir, "status") != 0)
                    && System.nanoTime() < until) {
                Thread.sleep(100);
            }
            assertTrue(pid(dir, "r0") != second, "its supervisor started it again");
            assertEquals(0, fleet(dir, "stop", "--wait-timeout", "60"));
            assertEquals(4, fleet(dir, "status", "--timeout", "1"));
            until = System.nanoTime() + 60 * S;
            while (left(before) > 0 && System.nanoTime() < until) {
                Thread.sleep(100);
            }
            assertEquals(0, left(before), "supervisors end with routers that were told to");
        } finally {
            ProcessHandle.current()
                    .descendants()
                    .filter(processHandle -> !before.contains(processHandle))
                    .forEach(ProcessHandle::destroyForcibly);
            engines.forEach(EmulatedEngine::crash);
        }
    }

    private static long left(Set<ProcessHandle> before) {
        return ProcessHandle.current()
                .descendants()
                .filter(processHandle -> !before.contains(processHandle))
                .count();
    }

    /** The engine with the most work of the last second: it is at stake. */
    private static EmulatedEngine busiest(List<EmulatedEngine> engines)
            throws InterruptedException {
        long until = System.nanoTime() + 60 * S;
        while (true) {
            Thread.sleep(1_000);
            long since = System.nanoTime() - S;
            EmulatedEngine most = null;
            long count = 20;
            for (EmulatedEngine emulatedEngine : engines) {
                long n =
                        emulatedEngine.ledger().entries().stream()
                                .filter(entry -> entry.tag.equals("load") && entry.beganNs > since)
                                .count();
                if (n > count) {
                    most = emulatedEngine;
                    count = n;
                }
            }
            if (most != null) {
                return most;
            }
            assertTrue(
                    System.nanoTime() < until,
                    "no engine gets work: "
                            + engines.stream()
                                    .map(emulatedEngine -> emulatedEngine.ledger().entries().size())
                                    .toList());
        }
    }
}
