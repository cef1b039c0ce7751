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
 * A router as a process of its own, killed at moments drawn from a seed while loads come under keys
 * and results fill the spool. {@code -Dashlink.kills=200} is the long run.
 */
class KilledStatementsTest {

    private static final int KILLS = Integer.getInteger("ashlink.kills", 3);
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

    private static String load(String key) {
        return "INSERT /* sim tag=" + key + " work_ms=40 */ INTO readings SELECT * FROM inbox";
    }

    /** Posts loads until the router is gone. */
    private void client(int round, int number) {
        try {
            for (int i = 0; ; i++) {
                String key = "k" + round + "-" + number + "-" + i;
                posted.add(key);
                HttpResponse<String> httpResponse = post(key, load(key));
                JsonNode node = JSON.readTree(httpResponse.body());
                if (httpResponse.statusCode() == 200 || httpResponse.statusCode() == 202) {
                    acknowledged.put(key, node.get("id").asText());
                }
                post(null, "SELECT /* sim rows=500 blocks=4 */ 1");
            }
        } catch (IOException e) {
            // the router is gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void noLoadRunsTwiceNoKeyIsLostAndNoFileStays(@TempDir Path dir) throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Path spool = dir.resolve("spool");
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
        SplittableRandom random = new SplittableRandom(11);
        Map<String, Integer> verdicts = new HashMap<>();
        int leftBehind = 0;
        Set<String> asked = new HashSet<>();
        for (int round = 0; round <= KILLS; round++) {
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "ashlink.cli.Main",
                                    "route",
                                    config.toString())
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            try {
                new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
                Set<String> before = new HashSet<>(posted);
                before.removeAll(asked);
                for (String key : before) {
                    asked.add(key);
                    again(key, verdicts);
                }
                if (round < KILLS) {
                    List<Thread> clients = new ArrayList<>();
                    for (int c = 0; c < 4; c++) {
                        int r = round;
                        int number = c;
                        clients.add(new Thread(() -> client(r, number)));
                    }
                    clients.forEach(Thread::start);
                    int known = acknowledged.size();
                    long begun = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
                    while (acknowledged.size() < known + 4 && System.nanoTime() < begun) {
                        Thread.sleep(5); // under way, however slow the start was
                    }
                    Thread.sleep(random.nextInt(400));
                    process.destroyForcibly();
                    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                    for (Thread thread : clients) {
                        thread.join(30_000);
                    }
                    leftBehind += pages(spool);
                } else {
                    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
                    while (pages(spool) > 0 && System.nanoTime() < until) {
                        Thread.sleep(20);
                    }
                    assertEquals(0, pages(spool), "files of earlier starts");
                }
            } finally {
                process.destroyForcibly();
                process.waitFor(20, TimeUnit.SECONDS);
            }
        }
        Map<String, Integer> runs = new HashMap<>();
        for (EmulatedEngine emulatedEngine : engines) {
            for (Ledger.Entry x : emulatedEngine.ledger().entries()) {
                if (x.ranNs() > 0 && x.how() != Ledger.How.TURNED_AWAY) {
                    runs.merge(x.tag, 1, Integer::sum);
                }
            }
            emulatedEngine.crash();
        }
        runs.remove("");
        System.out.printf(
                "%d kills: %d loads posted under keys, %d acknowledged, %d ran, after the kill %s;"
                        + " %d files left behind by kills, 0 after the next start%n",
                KILLS, posted.size(), acknowledged.size(), runs.size(), verdicts, leftBehind);
        assertEquals(
                List.of(),
                runs.entrySet().stream()
                        .filter(e -> e.getValue() > 1 && posted.contains(e.getKey()))
                        .toList());
        assertTrue(
                leftBehind > 0
                        && verdicts.getOrDefault("fate-unknown", 0) > 0
                        && acknowledged.size() > KILLS,
                "not at stake: " + verdicts + ", " + leftBehind + " files");
    }

    /**
     * The same load under the same key, after the kill: what was acknowledged is known by its id.
     */
    private void again(String key, Map<String, Integer> verdicts) throws Exception {
        HttpResponse<String> httpResponse = post(key, load(key));
        JsonNode node = JSON.readTree(httpResponse.body());
        String id = acknowledged.get(key);
        String verdict =
                httpResponse.statusCode() < 300
                        ? "run now"
                        : node.path("type").asText().replace("/problems/", "");
        verdicts.merge(verdict, 1, Integer::sum);
        if (id != null) {
            assertTrue(
                    httpResponse.statusCode() == 410 || httpResponse.statusCode() == 502,
                    key + " was acknowledged, and is answered " + httpResponse.body());
            assertEquals(id, node.get("statement").asText());
        }
    }

    private static int pages(Path spool) throws IOException {
        try (Stream<Path> files = Files.list(spool)) {
            return (int) files.filter(path -> path.toString().endsWith(".page")).count();
        }
    }
}
