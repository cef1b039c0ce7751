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
 * Runs routers as separate processes under load and manages them with the fleet commands. A drain
 * that reaches only half of the routers must stop new work on all of them, even if a router is
 * killed or paused meanwhile. The engines' ledgers record when the last new work arrived.
 */
class FleetProcessTest {

    private static final int ROUTERS = Integer.getInteger("ashlink.routers", 4);
    private static final int DRAINS = Integer.getInteger("ashlink.drains", 2);
    private static final long NS_PER_SECOND = 1_000_000_000L;

    /**
     * Time within which a drain must apply everywhere. The requirement is 2 s; the short run allows
     * 4 s, because it runs beside other tests on a machine that may be overloaded.
     */
    private static final long GRACE_NS = DRAINS > 2 ? 2 * NS_PER_SECOND : 4 * NS_PER_SECOND;

    private static final Duration DAY = Duration.ofDays(1);

    private final List<Integer> ports = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final AtomicBoolean ended = new AtomicBoolean();

    private static final ByteArrayOutputStream OUTPUT = new ByteArrayOutputStream();

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Writes the keys, the settings of the given number of routers, and the inventory. */
    private void setUp(Path dir, List<EmulatedEngine> engines, int routers) throws Exception {
        CertificateAuthority authority = new CertificateAuthority(dir.resolve("keys"));
        authority.renew(DAY);
        authority.issue("ann", Set.of(Role.OBSERVE, Role.DRAIN, Role.STOP), DAY);
        int[] freePorts = freePorts(2 * routers);
        StringBuilder inventory = new StringBuilder("(fleet (keys \"keys\") (operator ann)\n");
        for (int i = 0; i < routers; i++) {
            ports.add(freePorts[2 * i]);
            authority.issue("r" + i, Set.of(Role.ROUTER), DAY);
            Files.writeString(
                    dir.resolve("r" + i + ".sexp"), settings(dir, engines, i, routers, freePorts));
            inventory
                    .append("  (router r")
                    .append(i)
                    .append(" (hall halle-")
                    .append(1 + i % 3)
                    .append(") (control 127.0.0.1:")
                    .append(freePorts[2 * i + 1])
                    .append("))\n");
        }
        Files.writeString(dir.resolve("fleet.sexp"), inventory.append(")\n").toString());
    }

    private static String settings(
            Path dir, List<EmulatedEngine> engines, int index, int routers, int[] freePorts)
            throws Exception {
        StringBuilder peers = new StringBuilder();
        for (int j = 0; j < routers; j++) {
            if (j != index) {
                peers.append(" (peer r")
                        .append(j)
                        .append(" (address 127.0.0.1:")
                        .append(freePorts[2 * j + 1])
                        .append("))");
            }
        }
        return TestSettings.text(
                "r" + index,
                "halle-1",
                index,
                routers,
                7 + index,
                freePorts[2 * index],
                engines,
                "(state-dir \""
                        + dir.resolve("r" + index)
                        + "\") (control (listen 127.0.0.1:"
                        + freePorts[2 * index + 1]
                        + ") (keys \""
                        + dir.resolve("keys")
                        + "\")"
                        + peers
                        + ")");
    }

    private Process startRouter(Path dir, int index) throws IOException {
        return new ProcessBuilder(
                        SuperviseCommand.commandLine(
                                "--log-level",
                                "ERROR",
                                "route",
                                dir.resolve("r" + index + ".sexp").toString()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static int runFleetCommand(Path dir, String... arguments) {
        List<String> commandLine = new ArrayList<>(List.of("fleet"));
        commandLine.addAll(List.of(arguments));
        commandLine.addAll(List.of("--inventory", dir.resolve("fleet.sexp").toString()));
        PrintStream standardOutput = System.out;
        try {
            OUTPUT.reset();
            System.setOut(new PrintStream(OUTPUT));
            return new CommandLine(new Main())
                    .setCaseInsensitiveEnumValuesAllowed(true)
                    .execute(commandLine.toArray(new String[0]));
        } finally {
            System.setOut(standardOutput);
        }
    }

    /** Sends short queries to a router until the test ends. Reconnects after failures. */
    private void sendQueries(int index) {
        while (!ended.get()) {
            try (NativeClient client =
                    NativeClient.connect(
                            new InetSocketAddress("127.0.0.1", ports.get(index)), "portal")) {
                while (!ended.get()
                        && client.query(
                                        "",
                                        "SELECT /* sim tag=load work_ms=10 */ 1",
                                        Map.of(),
                                        5 * NS_PER_SECOND)
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

    /**
     * Returns the time at which the engine received the last query: from the given router, or from
     * all others.
     */
    private static long lastReceivedNs(EmulatedEngine engine, String router, boolean fromRouter) {
        return engine.ledger().entries().stream()
                .filter(
                        entry ->
                                entry.tag.equals("load")
                                        && entry.router.equals("ashlink " + router) == fromRouter)
                .mapToLong(entry -> entry.beganNs)
                .max()
                .orElse(0);
    }

    /** Returns the time at which the first router received the command, from the JSON output. */
    private static long firstReceivedNs() throws IOException {
        long firstMs = Long.MAX_VALUE;
        for (JsonNode node : new ObjectMapper().readTree(OUTPUT.toByteArray())) {
            firstMs = Math.min(firstMs, node.path("toldAtMs").asLong(Long.MAX_VALUE));
        }
        return System.nanoTime() - (System.currentTimeMillis() - firstMs) * 1_000_000;
    }

    /** Sends a signal to the process of a router; does nothing if the router's name is empty. */
    private void sendSignal(String name, String router) throws IOException, InterruptedException {
        if (!router.isEmpty()) {
            long pid = processes.get(Integer.parseInt(router.substring(1))).pid();
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor());
        }
    }

    private void startRoutersUnderLoad(Path dir, List<Thread> clients) throws Exception {
        for (int i = 0; i < ROUTERS; i++) {
            processes.add(startRouter(dir, i));
        }
        long deadlineNs = System.nanoTime() + 90 * NS_PER_SECOND;
        while (runFleetCommand(dir, "status") != 0 && System.nanoTime() < deadlineNs) {
            Thread.sleep(200);
        }
        for (int i = 0; i < ROUTERS; i++) {
            int index = i;
            Thread thread = new Thread(() -> sendQueries(index), "load");
            thread.setDaemon(true);
            thread.start();
            clients.add(thread);
        }
    }

    /**
     * Drains an engine through half of the routers while one router is paused or killed, and checks
     * that no router sends it new work. Returns the time of the last new work after the drain, in
     * milliseconds.
     *
     * @param paused router to pause; empty to kill a router that received the drain
     */
    private long checkDrain(Path dir, EmulatedEngine engine, String paused) throws Exception {
        String name = engine.config().name();
        sendSignal("STOP", paused);
        drainHalf(dir, name);
        long drainedNs = firstReceivedNs();
        long receivedNs = drainedNs;
        if (paused.isEmpty()) {
            processes.get(0).destroyForcibly(); // received the drain
            processes.get(0).waitFor(20, TimeUnit.SECONDS);
            processes.set(0, startRouter(dir, 0)); // restarts while the drain is valid
        } else {
            Thread.sleep(3_000); // the paused router resumes with outdated state
            receivedNs = System.nanoTime();
            sendSignal("CONT", paused);
        }
        Thread.sleep(4_500);
        long lastNs = lastReceivedNs(engine, paused, false);
        assertTrue(lastNs < drainedNs + GRACE_NS, () -> newWorkAfter(engine, drainedNs));
        assertTrue(
                lastReceivedNs(engine, paused, true) < receivedNs + GRACE_NS,
                "new work from the paused router");
        assertEquals(0, runFleetCommand(dir, "undrain", name), "all routers received the undrain");
        return (lastNs - drainedNs) / 1_000_000;
    }

    private static void drainHalf(Path dir, String name) {
        List<String> arguments =
                new ArrayList<>(List.of("drain", name, "--wait", "0", "--for", "1"));
        for (int i = 0; i < (ROUTERS + 1) / 2; i++) {
            arguments.addAll(List.of("--router", "r" + i));
        }
        arguments.add("--json");
        runFleetCommand(dir, arguments.toArray(new String[0]));
    }

    private static String newWorkAfter(EmulatedEngine engine, long drainedNs) {
        return "new work at "
                + engine.config().name()
                + " after the drain, in ms by router: "
                + engine.ledger().entries().stream()
                        .filter(entry -> entry.tag.equals("load") && entry.beganNs > drainedNs)
                        .map(entry -> entry.router + " " + (entry.beganNs - drainedNs) / 1_000_000)
                        .toList();
    }

    @Test
    void drainThatReachesHalfOfTheRoutersStopsNewWorkOnAll(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        setUp(dir, engines, ROUTERS);
        List<Thread> clients = new ArrayList<>();
        List<Long> lastReceivedMs = new ArrayList<>();
        try {
            startRoutersUnderLoad(dir, clients);
            for (int drain = 0; drain < DRAINS; drain++) {
                String paused = drain % 2 == 0 ? "" : "r" + (ROUTERS - 1);
                lastReceivedMs.add(checkDrain(dir, busiest(engines), paused));
            }
            processes.get(1).destroyForcibly().waitFor(20, TimeUnit.SECONDS);
            assertEquals(
                    3, runFleetCommand(dir, "status", "--timeout", "1"), "some routers reached");
            assertEquals(
                    4,
                    runFleetCommand(dir, "status", "--timeout", "1", "--router", "r1"),
                    "no router reached");
        } finally {
            ended.set(true);
            for (Thread thread : clients) {
                thread.join(10_000);
            }
            for (Process process : processes) {
                process.destroyForcibly().waitFor(20, TimeUnit.SECONDS);
            }
            engines.forEach(EmulatedEngine::crash);
        }
        System.out.printf(
                "%d routers, %d drains that reached half of them, one of these killed immediately"
                    + " or one of the others paused for 3 s: last new work after the drain, in ms:"
                    + " %s%n",
                ROUTERS, DRAINS, lastReceivedMs);
    }

    private static long pid(Path dir, String router) throws IOException {
        String text = Files.readString(dir.resolve(router).resolve("router.pid")).trim();
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    @Test
    void routersAreStartedRestartedSupervisedAndStopped(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        setUp(dir, engines, 2);
        Set<ProcessHandle> before =
                ProcessHandle.current().descendants().collect(Collectors.toSet());
        try {
            assertEquals(0, runFleetCommand(dir, "start", "--wait-timeout", "60"));
            long firstPid = pid(dir, "r0");
            Process duplicate = startRouter(dir, 0);
            assertTrue(duplicate.waitFor(60, TimeUnit.SECONDS));
            assertEquals(1, duplicate.exitValue(), "only one process per state directory");
            assertEquals(0, runFleetCommand(dir, "restart", "--wait-timeout", "60", "--up", "1"));
            long secondPid = pid(dir, "r0");
            assertTrue(
                    firstPid != secondPid && ProcessHandle.of(firstPid).isEmpty(),
                    "restarted as another process");
            assertTrue(secondPid > 0);
            ProcessHandle.of(secondPid).orElseThrow().destroyForcibly();
            long deadlineNs = System.nanoTime() + 60 * NS_PER_SECOND;
            while ((pid(dir, "r0") == secondPid || runFleetCommand(dir, "status") != 0)
                    && System.nanoTime() < deadlineNs) {
                Thread.sleep(100);
            }
            assertTrue(pid(dir, "r0") != secondPid, "the supervisor restarted the router");
            assertEquals(0, runFleetCommand(dir, "stop", "--wait-timeout", "60"));
            assertEquals(4, runFleetCommand(dir, "status", "--timeout", "1"));
            deadlineNs = System.nanoTime() + 60 * NS_PER_SECOND;
            while (remainingProcesses(before) > 0 && System.nanoTime() < deadlineNs) {
                Thread.sleep(100);
            }
            assertEquals(
                    0,
                    remainingProcesses(before),
                    "supervisors exit when their routers are stopped");
        } finally {
            destroyProcesses(before);
            engines.forEach(EmulatedEngine::crash);
        }
    }

    private static void destroyProcesses(Set<ProcessHandle> before) {
        ProcessHandle.current()
                .descendants()
                .filter(process -> !before.contains(process))
                .forEach(ProcessHandle::destroyForcibly);
    }

    private static long remainingProcesses(Set<ProcessHandle> before) {
        return ProcessHandle.current()
                .descendants()
                .filter(process -> !before.contains(process))
                .count();
    }

    /** Returns the engine that received the most queries in the last second. */
    private static EmulatedEngine busiest(List<EmulatedEngine> engines)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + 60 * NS_PER_SECOND;
        while (true) {
            Thread.sleep(1_000);
            long sinceNs = System.nanoTime() - NS_PER_SECOND;
            EmulatedEngine busiest = null;
            long maxCount = 20;
            for (EmulatedEngine engine : engines) {
                long count =
                        engine.ledger().entries().stream()
                                .filter(
                                        entry ->
                                                entry.tag.equals("load") && entry.beganNs > sinceNs)
                                .count();
                if (count > maxCount) {
                    busiest = engine;
                    maxCount = count;
                }
            }
            if (busiest != null) {
                return busiest;
            }
            assertTrue(
                    System.nanoTime() < deadlineNs,
                    "no engine receives enough queries: "
                            + engines.stream()
                                    .map(engine -> engine.ledger().entries().size())
                                    .toList());
        }
    }
}
