package ashlink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.EmulatedEngine;
import ashlink.emulator.Ledger;
import ashlink.loadtest.fixture.EmulatedEngines;
import ashlink.loadtest.fixture.TestSettings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills a router process at pseudorandom times while inserts with idempotency keys arrive and
 * results fill the spool. No insert may run twice, no acknowledged key may be lost, and no spool
 * file may remain. The last kill waits until a long insert runs, so that every run covers an
 * unknown outcome. {@code -Dashlink.kills=200} selects the long run.
 */
class KilledStatementsTest {

    private static final int KILLS = Integer.getInteger("ashlink.kills", 3);

    /** Key of the insert that runs during the last kill. */
    private static final String LONG_INSERT_KEY = "long-insert";

    /** Longer than a kill takes, and shorter than the deadline of the class, which is 25 s. */
    private static final int LONG_INSERT_MS = 10_000;

    private static final int INSERT_MS = 40;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(5))
                    .build();
    private final Map<String, String> acknowledged = new ConcurrentHashMap<>();
    private final Set<String> posted = ConcurrentHashMap.newKeySet();
    private int port;

    private HttpResponse<String> post(String key, String statement)
            throws IOException, InterruptedException {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + port + "/v1/statements?wait=2"))
                        .timeout(Duration.ofSeconds(20))
                        .POST(HttpRequest.BodyPublishers.ofString(statement));
        return http.send(
                (key == null ? builder : builder.header("Idempotency-Key", key)).build(),
                BodyHandlers.ofString());
    }

    private static String insertStatement(String key) {
        int workMs = key.equals(LONG_INSERT_KEY) ? LONG_INSERT_MS : INSERT_MS;
        return "INSERT /* sim tag="
                + key
                + " work_ms="
                + workMs
                + " */ INTO readings SELECT * FROM inbox";
    }

    private void postInsert(String key) throws IOException, InterruptedException {
        posted.add(key);
        HttpResponse<String> response = post(key, insertStatement(key));
        JsonNode node = JSON.readTree(response.body());
        if (response.statusCode() == 200 || response.statusCode() == 202) {
            acknowledged.put(key, node.get("id").asText());
        }
    }

    /** Posts inserts until the router is killed. */
    private void postInserts(int round, int clientNumber) {
        try {
            for (int i = 0; ; i++) {
                postInsert("k" + round + "-" + clientNumber + "-" + i);
                post(null, "SELECT /* sim rows=500 blocks=4 */ 1");
            }
        } catch (IOException e) {
            // The router was killed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Posts the long insert, whose response the kill usually prevents. */
    private void postLongInsert() {
        try {
            postInsert(LONG_INSERT_KEY);
        } catch (IOException e) {
            // The router was killed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Path writeSettings(Path dir, Path spool, List<EmulatedEngine> engines)
            throws Exception {
        Path config = dir.resolve("r1.sexp");
        Files.writeString(
                config,
                TestSettings.text(
                        "r1",
                        "halle-1",
                        0,
                        1,
                        7,
                        0,
                        engines,
                        "(state-dir \""
                                + dir.resolve("state")
                                + "\") (http (listen 127.0.0.1:"
                                + port
                                + ") (spool \""
                                + spool
                                + "\") (page 4KiB) (memory 0B))"));
        return config;
    }

    /**
     * Kills a router at a pseudorandom time while clients post inserts. The last kill comes after
     * this time, as soon as the long insert runs.
     */
    private void killUnderLoad(
            Process process, int round, SplittableRandom random, List<EmulatedEngine> engines)
            throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 4; c++) {
            int clientNumber = c;
            clients.add(new Thread(() -> postInserts(round, clientNumber)));
        }
        clients.forEach(Thread::start);
        int acknowledgedBefore = acknowledged.size();
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (acknowledged.size() < acknowledgedBefore + 4 && System.nanoTime() < deadlineNs) {
            Thread.sleep(5); // waits until inserts are acknowledged, however slow
        }
        Thread.sleep(random.nextInt(400));
        if (round == KILLS - 1) {
            Thread thread = new Thread(this::postLongInsert);
            clients.add(thread);
            thread.start();
            awaitLongInsert(engines);
        }
        process.destroyForcibly();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        for (Thread thread : clients) {
            thread.join(30_000);
        }
    }

    /**
     * Waits until an engine runs the long insert. The router has stored its key then, and cannot
     * store its end before the work is done.
     */
    private static void awaitLongInsert(List<EmulatedEngine> engines) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!runsByTag(engines).containsKey(LONG_INSERT_KEY)) {
            assertTrue(
                    System.nanoTime() < deadlineNs,
                    "no engine has begun to run the long insert within 20 s");
            Thread.sleep(5);
        }
    }

    private static void awaitEmptySpool(Path spool) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (pageFiles(spool) > 0 && System.nanoTime() < deadlineNs) {
            Thread.sleep(20);
        }
        assertEquals(0, pageFiles(spool), "spool files of earlier starts");
    }

    /** Returns how often each tagged statement ran on the engines. */
    private static Map<String, Integer> runsByTag(List<EmulatedEngine> engines) {
        Map<String, Integer> runs = new HashMap<>();
        for (EmulatedEngine engine : engines) {
            for (Ledger.Entry entry : engine.ledger().entries()) {
                if (entry.ranNs() > 0 && entry.outcome() != Ledger.Outcome.TURNED_AWAY) {
                    runs.merge(entry.tag, 1, Integer::sum);
                }
            }
        }
        runs.remove("");
        return runs;
    }

    private void assertNoInsertRanTwice(Map<String, Integer> runs) {
        assertEquals(
                List.of(),
                runs.entrySet().stream()
                        .filter(run -> run.getValue() > 1 && posted.contains(run.getKey()))
                        .toList());
    }

    @Test
    void noInsertRunsTwiceNoKeyIsLostAndNoSpoolFileRemains(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        Path spool = dir.resolve("spool");
        Path config = writeSettings(dir, spool, engines);
        SplittableRandom random = new SplittableRandom(11);
        Map<String, Integer> outcomes = new HashMap<>();
        int leftoverFiles = 0;
        Set<String> repeatedKeys = new HashSet<>();
        for (int round = 0; round <= KILLS; round++) {
            Process process = RouterProcess.start(config, "-XX:TieredStopAtLevel=1");
            try {
                new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
                repeatInserts(repeatedKeys, outcomes);
                if (round < KILLS) {
                    killUnderLoad(process, round, random, engines);
                    leftoverFiles += pageFiles(spool);
                } else {
                    awaitEmptySpool(spool);
                }
            } finally {
                process.destroyForcibly();
                process.waitFor(20, TimeUnit.SECONDS);
            }
        }
        Map<String, Integer> runs = runsByTag(engines);
        engines.forEach(EmulatedEngine::crash);
        System.out.printf(
                "%d kills: %d inserts posted with keys, %d acknowledged, %d ran, after the kill %s;"
                        + " %d files left behind by kills, 0 after the next start%n",
                KILLS, posted.size(), acknowledged.size(), runs.size(), outcomes, leftoverFiles);
        assertNoInsertRanTwice(runs);
        assertTrue(
                leftoverFiles > 0
                        && outcomes.getOrDefault("fate-unknown", 0) > 0
                        && acknowledged.size() > KILLS,
                "too few cases: " + outcomes + ", " + leftoverFiles + " files");
    }

    /** Repeats the inserts that were posted before the last kill. */
    private void repeatInserts(Set<String> repeatedKeys, Map<String, Integer> outcomes)
            throws Exception {
        Set<String> postedBeforeKill = new HashSet<>(posted);
        postedBeforeKill.removeAll(repeatedKeys);
        for (String key : postedBeforeKill) {
            repeatedKeys.add(key);
            repeatInsert(key, outcomes);
        }
    }

    /**
     * Posts the same insert with the same key again after the kill. An acknowledged statement must
     * be reported with its ID.
     */
    private void repeatInsert(String key, Map<String, Integer> outcomes) throws Exception {
        HttpResponse<String> response = post(key, insertStatement(key));
        JsonNode node = JSON.readTree(response.body());
        String id = acknowledged.get(key);
        String outcome =
                response.statusCode() < 300
                        ? "run now"
                        : node.path("type").asText().replace("/problems/", "");
        outcomes.merge(outcome, 1, Integer::sum);
        if (id != null) {
            assertTrue(
                    response.statusCode() == 410 || response.statusCode() == 502,
                    key + " was acknowledged, but the response is " + response.body());
            assertEquals(id, node.get("statement").asText());
        }
    }

    private static int pageFiles(Path spool) throws IOException {
        try (Stream<Path> files = Files.list(spool)) {
            return (int) files.filter(path -> path.toString().endsWith(".page")).count();
        }
    }
}
