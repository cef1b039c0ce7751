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
import java.util.stream.Stream;

/**
 * Runs the same load through a direct connection, a TCP relay and the router in alternating rounds,
 * so that the ratios are meaningful on a noisy machine. Engines, clients and router share one
 * process, so rates per second cannot be compared across machines.
 */
public final class RouterBench {

    private static final long S = 1_000_000_000L;
    private static final String SHORT = "SELECT /* sim work_ms=0.001 */ 1";
    private static final int ROUNDS = 5;

    private final PrintStream out;
    private final long roundNs;
    private final AtomicLong decidingNs = new AtomicLong();

    /** Creates a benchmark with rounds of the given duration. */
    public RouterBench(PrintStream out, long roundNs) {
        this.out = out;
        this.roundNs = roundNs;
    }

    private Router router(
            String name, int position, int gateways, List<EmulatedEngine> engines, String more)
            throws IOException {
        Router router =
                new Router(
                        TestSettings.of(
                                name,
                                "halle-1",
                                position,
                                gateways,
                                1,
                                0,
                                engines,
                                "(limits (drain-grace 2s))" + more),
                        settings -> {
                            DefaultWorkloadManager rules = new DefaultWorkloadManager(settings);
                            return (event, now) -> {
                                long from = System.nanoTime();
                                List<Action> actions = rules.onEvent(event, now);
                                decidingNs.addAndGet(System.nanoTime() - from);
                                return actions;
                            };
                        });
        router.start();
        return router;
    }

    /** Runs all measurements and prints the results. */
    public void run() throws IOException, InterruptedException {
        EmulatedEngine engine = Figures.engine("q1");
        try (Relay relay = new Relay(engine.address())) {
            Router router = router("r1", 0, 1, List.of(engine), "");
            Path folder = Files.createTempDirectory("ashlink-bench");
            Router captured =
                    router("r2", 0, 1, List.of(engine), "(capture (dir \"" + folder + "\"))");
            Map<String, InetSocketAddress> ways = new java.util.LinkedHashMap<>();
            ways.put("direct", engine.address());
            ways.put("relay", relay.address());
            ways.put("router", router.address());
            ways.put("captured", captured.address());
            for (InetSocketAddress address : ways.values()) {
                Loads.closed(address, 16, n -> SHORT, roundNs); // warm-up
            }
            closed(ways, 1);
            closed(ways, 64);
            reading(router.address());
            large(ways);
            idle(router);
            router.kill();
            captured.stop();
            try (Stream<Path> files = Files.list(folder)) {
                for (Path path : files.toList()) {
                    Files.delete(path);
                }
            }
            Files.delete(folder);
        }
        engine.crash();
        three();
    }

    private void closed(Map<String, InetSocketAddress> ways, int connections)
            throws IOException, InterruptedException {
        Map<String, double[]> rates = new java.util.LinkedHashMap<>();
        Map<String, double[]> medians = new java.util.LinkedHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (Map.Entry<String, InetSocketAddress> entry : ways.entrySet()) {
                Loads.Seen seen = Loads.closed(entry.getValue(), connections, n -> SHORT, roundNs);
                rates.computeIfAbsent(entry.getKey(), k -> new double[ROUNDS])[round] =
                        seen.perSecond();
                medians.computeIfAbsent(entry.getKey(), k -> new double[ROUNDS])[round] =
                        seen.times().getValueAtPercentile(50) / 1e3;
                if (seen.failed() > 0) {
                    out.printf(
                            "  %s: %d failed, for example: %s%n",
                            entry.getKey(), seen.failed(), seen.failure());
                }
            }
        }
        out.printf(
                "closed load, %d connections, short query, %d rounds of %.1f s each way:%n",
                connections, ROUNDS, roundNs / 1e9);
        ways.keySet()
                .forEach(
                        w ->
                                out.printf(
                                        "  %-8s %8.0f/s [%.0f..%.0f]  median %7.1f us%n",
                                        w,
                                        Figures.median(rates.get(w)),
                                        Figures.least(rates.get(w)),
                                        Figures.most(rates.get(w)),
                                        Figures.median(medians.get(w))));
        double[] ratio = new double[ROUNDS];
        double[] added = new double[ROUNDS];
        double[] captured = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            ratio[i] = rates.get("router")[i] / rates.get("relay")[i];
            added[i] = medians.get("router")[i] - medians.get("relay")[i];
            captured[i] = rates.get("captured")[i] / rates.get("router")[i];
        }
        out.printf(
                "  router over relay: throughput %.2f [%.2f..%.2f], added median %.0f us"
                        + " [%.0f..%.0f]%n",
                Figures.median(ratio),
                Figures.least(ratio),
                Figures.most(ratio),
                Figures.median(added),
                Figures.least(added),
                Figures.most(added));
        out.printf(
                "  with capture over without: throughput %.2f [%.2f..%.2f]%n",
                Figures.median(captured), Figures.least(captured), Figures.most(captured));
    }

    /**
     * Compares a statement that is in the router's parse cache with statements that are new and
     * therefore parsed each time.
     */
    private void reading(InetSocketAddress router) throws IOException, InterruptedException {
        String text =
                "SELECT /* sim work_ms=0.001 */ meter, sum(value) AS total, max(ts) FROM readings"
                    + " WHERE meter IN (4711, 4712, 4713) AND ts >= '2026-01-01 00:00:00' AND kind"
                    + " = 'heat' AND id = %d GROUP BY meter ORDER BY total DESC";
        double[] known = new double[ROUNDS];
        double[] fresh = new double[ROUNDS];
        AtomicLong number = new AtomicLong();
        for (int i = 0; i < ROUNDS; i++) {
            known[i] =
                    Loads.closed(router, 1, n -> text.replace("%d", "1"), roundNs)
                                    .times()
                                    .getValueAtPercentile(50)
                            / 1e3;
            fresh[i] =
                    Loads.closed(
                                            router,
                                            1,
                                            n ->
                                                    text.replace(
                                                            "%d",
                                                            Long.toString(
                                                                    number.incrementAndGet())),
                                            roundNs)
                                    .times()
                                    .getValueAtPercentile(50)
                            / 1e3;
        }
        out.printf(
                "statement of 200 characters, 1 connection: median %.1f us with a cached parse"
                        + " result, %.1f us without: %.1f us added [%.1f..%.1f]%n",
                Figures.median(known),
                Figures.median(fresh),
                Figures.median(fresh) - Figures.median(known),
                Figures.least(fresh) - Figures.least(known),
                Figures.most(fresh) - Figures.most(known));
    }

    /** Transfers a result of 1 GiB: 1,024 blocks of 1 MiB. */
    private void large(Map<String, InetSocketAddress> ways) throws IOException {
        String statement = "SELECT /* sim work_ms=0.001 rows=1000 width=1035 blocks=1024 */ 1";
        Map<String, double[]> rates = new java.util.LinkedHashMap<>();
        long before = 0;
        long peak = 0;
        for (int round = 0; round < 3; round++) {
            for (Map.Entry<String, InetSocketAddress> entry : ways.entrySet()) {
                System.gc();
                before = Figures.used();
                try (NativeClient nativeClient = NativeClient.connect(entry.getValue(), "portal")) {
                    long from = System.nanoTime();
                    Reply reply = nativeClient.query("", statement, Map.of(), 60 * S);
                    if (reply.kind() != Reply.Kind.SERVED) {
                        throw new IOException("query over " + entry.getKey() + " failed: " + reply);
                    }
                    rates.computeIfAbsent(entry.getKey(), text -> new double[3])[round] =
                            reply.bytes() / (double) (1 << 20) / ((reply.endNs() - from) / 1e9);
                }
                System.gc();
                peak = Math.max(peak, Figures.used() - before);
            }
        }
        out.printf(
                "result of 1 GiB: direct %.0f, relay %.0f, router %.0f MiB/s; router over relay"
                        + " %.2f; at most %d KiB of heap retained afterwards%n",
                Figures.median(rates.get("direct")),
                Figures.median(rates.get("relay")),
                Figures.median(rates.get("router")),
                Figures.median(rates.get("router")) / Figures.median(rates.get("relay")),
                peak >> 10);
    }

    /** Measures the memory of idle connections, with both ends in this process. */
    private void idle(Router router) throws IOException {
        int n = 2_000;
        System.gc();
        long heap = Figures.used();
        long resident = Figures.resident();
        List<NativeClient> clients = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            clients.add(NativeClient.connect(router.address(), "portal"));
        }
        System.gc();
        out.printf(
                "%d idle connections: heap %.1f KiB each for both ends, resident %.1f KiB each%n",
                n,
                (Figures.used() - heap) / 1024.0 / n,
                (Figures.resident() - resident) / 1024.0 / n);
        clients.forEach(NativeClient::close);
    }

    /** Sends 660 queries per second through three routers and measures the CPU time per query. */
    private void three() throws IOException, InterruptedException {
        List<EmulatedEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(Figures.engine("q" + i));
        }
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            routers.add(router("r" + i, i, 3, engines, ""));
        }
        List<InetSocketAddress> addresses = routers.stream().map(Router::address).toList();
        Loads.open(addresses, 60, SHORT, roundNs, 660);
        long cpu = Figures.cpuNs();
        long deciding = decidingNs.get();
        Loads.Seen seen = Loads.open(addresses, 60, SHORT, 5 * roundNs, 660);
        double each = (Figures.cpuNs() - cpu) / 1e3 / seen.times().getTotalCount();
        out.printf(
                "open load of 660/s over three routers: %.0f/s served, %d failed, median %.0f us,"
                        + " 99%% %.0f us; CPU per query %.0f us for clients, routers and engines"
                        + " together, of which workload manager %.0f us%n",
                seen.perSecond(),
                seen.failed(),
                seen.times().getValueAtPercentile(50) / 1e3,
                seen.times().getValueAtPercentile(99) / 1e3,
                each,
                (decidingNs.get() - deciding) / 1e3 / seen.times().getTotalCount());
        routers.forEach(Router::kill);
        engines.forEach(EmulatedEngine::crash);
    }
}
