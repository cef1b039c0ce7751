package ashlink.loadtest.bench;

import ashlink.background.Lease;
import ashlink.background.plan.Priority;
import ashlink.background.plan.TaskSpec;
import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Measures short queries in alternating rounds with and without background tasks that use up their
 * CPU budget.
 */
public final class BackgroundBench {

    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final int ROUNDS = 9;
    private static final int CONNECTIONS = 16;
    private static final String SHORT_QUERY = "SELECT /* sim work_ms=0.001 */ 1";

    private final PrintStream out;
    private final long roundNs;

    /** Creates a benchmark with rounds of the given duration. */
    public BackgroundBench(PrintStream out, long roundNs) {
        this.out = out;
        this.roundNs = roundNs;
    }

    /** Runs the benchmark and prints the result. */
    public void run() throws IOException, InterruptedException {
        EmulatedEngine engine = BenchSupport.startEngine("q1");
        Router router =
                new Router(
                        TestSettings.of(
                                "r1",
                                "halle-1",
                                0,
                                1,
                                1,
                                0,
                                List.of(engine),
                                "(limits (drain-grace 2s))"));
        router.start();
        LoadGenerator.closedLoop(router.address(), CONNECTIONS, number -> SHORT_QUERY, 3 * roundNs);
        measure(router);
        router.kill();
        engine.crash();
    }

    private void measure(Router router) throws IOException, InterruptedException {
        double[] p99Ratio = new double[ROUNDS];
        double[] p99WithoutUs = new double[ROUNDS];
        double[] p99WithUs = new double[ROUNDS];
        double[] throughputRatio = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            boolean tasksFirst =
                    i % 2 == 0; // alternates, so that neither variant always runs first
            LoadGenerator.Result withTasks = tasksFirst ? runWithTasks(router) : null;
            LoadGenerator.Result withoutTasks =
                    LoadGenerator.closedLoop(
                            router.address(), CONNECTIONS, number -> SHORT_QUERY, roundNs);
            withTasks = tasksFirst ? withTasks : runWithTasks(router);
            p99WithoutUs[i] = withoutTasks.responseTimes().getValueAtPercentile(99) / 1e3;
            p99WithUs[i] = withTasks.responseTimes().getValueAtPercentile(99) / 1e3;
            p99Ratio[i] = p99WithUs[i] / p99WithoutUs[i];
            throughputRatio[i] = withTasks.requestsPerSecond() / withoutTasks.requestsPerSecond();
        }
        out.printf(
                "short queries, %d connections, %d rounds of %.1f s each way: 99%% %.0f us without"
                    + " background tasks, %.0f us with a spent CPU budget; ratio %.2f [%.2f..%.2f],"
                    + " throughput %.2f [%.2f..%.2f]%n",
                CONNECTIONS,
                ROUNDS,
                roundNs / 1e9,
                BenchSupport.median(p99WithoutUs),
                BenchSupport.median(p99WithUs),
                BenchSupport.median(p99Ratio),
                BenchSupport.min(p99Ratio),
                BenchSupport.max(p99Ratio),
                BenchSupport.median(throughputRatio),
                BenchSupport.min(throughputRatio),
                BenchSupport.max(throughputRatio));
    }

    private LoadGenerator.Result runWithTasks(Router router)
            throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            router.background()
                    .add(
                            TaskSpec.once(
                                    "burn" + i,
                                    Priority.NORMAL,
                                    100 * NS_PER_SECOND,
                                    100 * NS_PER_SECOND),
                            BackgroundBench::useCpu);
        }
        LoadGenerator.Result result =
                LoadGenerator.closedLoop(
                        router.address(), CONNECTIONS, number -> SHORT_QUERY, roundNs);
        for (int i = 0; i < 4; i++) {
            router.background().cancel("burn" + i);
        }
        return result;
    }

    private static void useCpu(Lease lease) throws InterruptedException {
        byte[] buffer = new byte[64 << 10];
        CRC32C checksum = new CRC32C();
        while (true) {
            for (int i = 0; i < 50; i++) {
                checksum.update(buffer);
            }
            lease.checkpoint();
        }
    }
}
