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

    private static final long S = 1_000_000_000L;
    private static final int ROUNDS = 9;
    private static final int CONNECTIONS = 16;
    private static final String SHORT = "SELECT /* sim work_ms=0.001 */ 1";

    private final PrintStream out;
    private final long roundNs;

    /** Creates a benchmark with rounds of the given duration. */
    public BackgroundBench(PrintStream out, long roundNs) {
        this.out = out;
        this.roundNs = roundNs;
    }

    /** Runs the benchmark and prints the result. */
    public void run() throws IOException, InterruptedException {
        EmulatedEngine engine = Figures.engine("q1");
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
        Loads.closed(router.address(), CONNECTIONS, n -> SHORT, 3 * roundNs);
        double[] ratio = new double[ROUNDS];
        double[] without = new double[ROUNDS];
        double[] with = new double[ROUNDS];
        double[] rate = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            boolean first = i % 2 == 0; // alternates, so that neither variant always runs first
            Loads.Seen busy = first ? busy(router) : null;
            Loads.Seen idle = Loads.closed(router.address(), CONNECTIONS, n -> SHORT, roundNs);
            busy = first ? busy : busy(router);
            without[i] = idle.times().getValueAtPercentile(99) / 1e3;
            with[i] = busy.times().getValueAtPercentile(99) / 1e3;
            ratio[i] = with[i] / without[i];
            rate[i] = busy.perSecond() / idle.perSecond();
        }
        out.printf(
                "short queries, %d connections, %d rounds of %.1f s each way: 99%% %.0f us without"
                    + " background tasks, %.0f us with a spent CPU budget; ratio %.2f [%.2f..%.2f],"
                    + " throughput %.2f [%.2f..%.2f]%n",
                CONNECTIONS,
                ROUNDS,
                roundNs / 1e9,
                Figures.median(without),
                Figures.median(with),
                Figures.median(ratio),
                Figures.least(ratio),
                Figures.most(ratio),
                Figures.median(rate),
                Figures.least(rate),
                Figures.most(rate));
        router.kill();
        engine.crash();
    }

    private Loads.Seen busy(Router router) throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            router.background()
                    .add(
                            TaskSpec.once("burn" + i, Priority.NORMAL, 100 * S, 100 * S),
                            BackgroundBench::burn);
        }
        Loads.Seen seen = Loads.closed(router.address(), CONNECTIONS, n -> SHORT, roundNs);
        for (int i = 0; i < 4; i++) {
            router.background().cancel("burn" + i);
        }
        return seen;
    }

    private static void burn(Lease lease) throws InterruptedException {
        byte[] bytes = new byte[64 << 10];
        CRC32C crc = new CRC32C();
        while (true) {
            for (int i = 0; i < 50; i++) {
                crc.update(bytes);
            }
            lease.checkpoint();
        }
    }
}
