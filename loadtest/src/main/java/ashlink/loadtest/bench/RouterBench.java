package ashlink.loadtest.bench;

import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Action;
import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.stream.Stream;

/**
 * Runs the same load through a direct connection, a TCP relay and the router in alternating rounds,
 * so that the ratios are meaningful on a noisy machine. Engines, clients and router share one
 * process, so rates per second cannot be compared across machines.
 */
public final class RouterBench {

    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final String SHORT_QUERY = "SELECT /* sim work_ms=0.001 */ 1";
    private static final int ROUNDS = 5;

    private final PrintStream out;
    private final long roundNs;
    private final AtomicLong decisionNs = new AtomicLong();

    /** Creates a benchmark with rounds of the given duration. */
    public RouterBench(PrintStream out, long roundNs) {
        this.out = out;
        this.roundNs = roundNs;
    }

    private Router startRouter(
            String name,
            int routerIndex,
            int routerCount,
            List<EmulatedEngine> engines,
            String extraSettings)
            throws IOException {
        Router router =
                new Router(
                        TestSettings.of(
                                name,
                                "halle-1",
                                routerIndex,
                                routerCount,
                                1,
                                0,
                                engines,
                                "(limits (drain-grace 2s))" + extraSettings),
                        settings -> {
                            DefaultWorkloadManager manager = new DefaultWorkloadManager(settings);
                            return (event, now) -> {
                                long startNs = System.nanoTime();
                                List<Action> actions = manager.onEvent(event, now);
                                decisionNs.addAndGet(System.nanoTime() - startNs);
                                return actions;
                            };
                        });
        router.start();
        return router;
    }

    /** Runs all measurements and prints the results. */
    public void run() throws IOException, InterruptedException {
        EmulatedEngine engine = BenchSupport.startEngine("q1");
        try (TcpRelay relay = new TcpRelay(engine.address())) {
            Router router = startRouter("r1", 0, 1, List.of(engine), "");
            Path captureDirectory = Files.createTempDirectory("ashlink-bench");
            Router capturingRouter =
                    startRouter(
                            "r2",
                            0,
                            1,
                            List.of(engine),
                            "(capture (dir \"" + captureDirectory + "\"))");
            Map<String, InetSocketAddress> routes = new java.util.LinkedHashMap<>();
            routes.put("direct", engine.address());
            routes.put("relay", relay.address());
            routes.put("router", router.address());
            routes.put("captured", capturingRouter.address());
            for (InetSocketAddress address : routes.values()) {
                LoadGenerator.closedLoop(address, 16, number -> SHORT_QUERY, roundNs); // warm-up
            }
            measureClosedLoop(routes, 1);
            measureClosedLoop(routes, 64);
            measureParsing(router.address());
            measureLargeResult(routes);
            measureIdleConnections(router);
            router.kill();
            capturingRouter.stop();
            try (Stream<Path> files = Files.list(captureDirectory)) {
                for (Path path : files.toList()) {
                    Files.delete(path);
                }
            }
            Files.delete(captureDirectory);
        }
        engine.crash();
        measureThreeRouters();
    }

    private void measureClosedLoop(Map<String, InetSocketAddress> routes, int connections)
            throws IOException, InterruptedException {
        Map<String, double[]> rates = new java.util.LinkedHashMap<>();
        Map<String, double[]> medians = new java.util.LinkedHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (Map.Entry<String, InetSocketAddress> entry : routes.entrySet()) {
                LoadGenerator.Result result =
                        LoadGenerator.closedLoop(
                                entry.getValue(), connections, number -> SHORT_QUERY, roundNs);
                rates.computeIfAbsent(entry.getKey(), route -> new double[ROUNDS])[round] =
                        result.requestsPerSecond();
                medians.computeIfAbsent(entry.getKey(), route -> new double[ROUNDS])[round] =
                        result.responseTimes().getValueAtPercentile(50) / 1e3;
                if (result.failed() > 0) {
                    out.printf(
                            "  %s: %d failed, for example: %s%n",
                            entry.getKey(), result.failed(), result.lastFailure());
                }
            }
        }
        out.printf(
                "closed load, %d connections, short query, %d rounds of %.1f s each way:%n",
                connections, ROUNDS, roundNs / 1e9);
        routes.keySet()
                .forEach(
                        route ->
                                out.printf(
                                        "  %-8s %8.0f/s [%.0f..%.0f]  median %7.1f us%n",
                                        route,
                                        BenchSupport.median(rates.get(route)),
                                        BenchSupport.min(rates.get(route)),
                                        BenchSupport.max(rates.get(route)),
                                        BenchSupport.median(medians.get(route))));
        printComparison(rates, medians);
    }

    private void printComparison(Map<String, double[]> rates, Map<String, double[]> medians) {
        double[] ratio = new double[ROUNDS];
        double[] added = new double[ROUNDS];
        double[] captureRatio = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            ratio[i] = rates.get("router")[i] / rates.get("relay")[i];
            added[i] = medians.get("router")[i] - medians.get("relay")[i];
            captureRatio[i] = rates.get("captured")[i] / rates.get("router")[i];
        }
        out.printf(
                "  router over relay: throughput %.2f [%.2f..%.2f], added median %.0f us"
                        + " [%.0f..%.0f]%n",
                BenchSupport.median(ratio),
                BenchSupport.min(ratio),
                BenchSupport.max(ratio),
                BenchSupport.median(added),
                BenchSupport.min(added),
                BenchSupport.max(added));
        out.printf(
                "  with capture over without: throughput %.2f [%.2f..%.2f]%n",
                BenchSupport.median(captureRatio),
                BenchSupport.min(captureRatio),
                BenchSupport.max(captureRatio));
    }

    /**
     * Compares a statement that is in the router's parse cache with statements that are new and
     * therefore parsed each time.
     */
    private void measureParsing(InetSocketAddress router) throws IOException, InterruptedException {
        String text =
                "SELECT /* sim work_ms=0.001 */ meter, sum(value) AS total, max(ts) FROM readings"
                    + " WHERE meter IN (4711, 4712, 4713) AND ts >= '2026-01-01 00:00:00' AND kind"
                    + " = 'heat' AND id = %d GROUP BY meter ORDER BY total DESC";
        double[] cachedUs = new double[ROUNDS];
        double[] uncachedUs = new double[ROUNDS];
        AtomicLong statementNumber = new AtomicLong();
        for (int i = 0; i < ROUNDS; i++) {
            cachedUs[i] = medianUs(router, number -> text.replace("%d", "1"));
            uncachedUs[i] =
                    medianUs(
                            router,
                            number ->
                                    text.replace(
                                            "%d",
                                            Long.toString(statementNumber.incrementAndGet())));
        }
        out.printf(
                "statement of 200 characters, 1 connection: median %.1f us with a cached parse"
                        + " result, %.1f us without: %.1f us added [%.1f..%.1f]%n",
                BenchSupport.median(cachedUs),
                BenchSupport.median(uncachedUs),
                BenchSupport.median(uncachedUs) - BenchSupport.median(cachedUs),
                BenchSupport.min(uncachedUs) - BenchSupport.min(cachedUs),
                BenchSupport.max(uncachedUs) - BenchSupport.max(cachedUs));
    }

    private double medianUs(InetSocketAddress router, LongFunction<String> statements)
            throws IOException, InterruptedException {
        return LoadGenerator.closedLoop(router, 1, statements, roundNs)
                        .responseTimes()
                        .getValueAtPercentile(50)
                / 1e3;
    }

    /** Transfers a result of 1 GiB: 1,024 blocks of 1 MiB. */
    private void measureLargeResult(Map<String, InetSocketAddress> routes) throws IOException {
        String statement = "SELECT /* sim work_ms=0.001 rows=1000 width=1035 blocks=1024 */ 1";
        Map<String, double[]> rates = new java.util.LinkedHashMap<>();
        long maxRetained = 0;
        for (int round = 0; round < 3; round++) {
            for (Map.Entry<String, InetSocketAddress> entry : routes.entrySet()) {
                System.gc();
                long heapBefore = BenchSupport.heapUsedBytes();
                try (NativeClient nativeClient = NativeClient.connect(entry.getValue(), "portal")) {
                    long startNs = System.nanoTime();
                    Reply reply = nativeClient.query("", statement, Map.of(), 60 * NS_PER_SECOND);
                    if (reply.kind() != Reply.Kind.SERVED) {
                        throw new IOException("query over " + entry.getKey() + " failed: " + reply);
                    }
                    rates.computeIfAbsent(entry.getKey(), route -> new double[3])[round] =
                            reply.bytes() / (double) (1 << 20) / ((reply.endNs() - startNs) / 1e9);
                }
                System.gc();
                maxRetained = Math.max(maxRetained, BenchSupport.heapUsedBytes() - heapBefore);
            }
        }
        out.printf(
                "result of 1 GiB: direct %.0f, relay %.0f, router %.0f MiB/s; router over relay"
                        + " %.2f; at most %d KiB of heap retained afterwards%n",
                BenchSupport.median(rates.get("direct")),
                BenchSupport.median(rates.get("relay")),
                BenchSupport.median(rates.get("router")),
                BenchSupport.median(rates.get("router")) / BenchSupport.median(rates.get("relay")),
                maxRetained >> 10);
    }

    /** Measures the memory of idle connections, with both ends in this process. */
    private void measureIdleConnections(Router router) throws IOException {
        int connections = 2_000;
        System.gc();
        long heapBytes = BenchSupport.heapUsedBytes();
        long residentBytes = BenchSupport.residentBytes();
        List<NativeClient> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            clients.add(NativeClient.connect(router.address(), "portal"));
        }
        System.gc();
        out.printf(
                "%d idle connections: heap %.1f KiB each for both ends, resident %.1f KiB each%n",
                connections,
                (BenchSupport.heapUsedBytes() - heapBytes) / 1024.0 / connections,
                (BenchSupport.residentBytes() - residentBytes) / 1024.0 / connections);
        clients.forEach(NativeClient::close);
    }

    /** Sends 660 queries per second through three routers and measures the CPU time per query. */
    private void measureThreeRouters() throws IOException, InterruptedException {
        List<EmulatedEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(BenchSupport.startEngine("q" + i));
        }
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            routers.add(startRouter("r" + i, i, 3, engines, ""));
        }
        List<InetSocketAddress> addresses = routers.stream().map(Router::address).toList();
        LoadGenerator.openLoop(addresses, 60, SHORT_QUERY, roundNs, 660);
        long cpuNs = BenchSupport.processCpuNs();
        long decisionStartNs = decisionNs.get();
        LoadGenerator.Result result =
                LoadGenerator.openLoop(addresses, 60, SHORT_QUERY, 5 * roundNs, 660);
        double cpuPerQueryUs =
                (BenchSupport.processCpuNs() - cpuNs)
                        / 1e3
                        / result.responseTimes().getTotalCount();
        out.printf(
                "open load of 660/s over three routers: %.0f/s served, %d failed, median %.0f us,"
                        + " 99%% %.0f us; CPU per query %.0f us for clients, routers and engines"
                        + " together, of which workload manager %.0f us%n",
                result.requestsPerSecond(),
                result.failed(),
                result.responseTimes().getValueAtPercentile(50) / 1e3,
                result.responseTimes().getValueAtPercentile(99) / 1e3,
                cpuPerQueryUs,
                (decisionNs.get() - decisionStartNs)
                        / 1e3
                        / result.responseTimes().getTotalCount());
        routers.forEach(Router::kill);
        engines.forEach(EmulatedEngine::crash);
    }
}
