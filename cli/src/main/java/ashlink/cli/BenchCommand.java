package ashlink.cli;

import ashlink.loadtest.bench.BackgroundBench;
import ashlink.loadtest.bench.CodecBench;
import ashlink.loadtest.bench.HttpBench;
import ashlink.loadtest.bench.RouterBench;
import java.util.concurrent.Callable;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the benchmarks. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Benchmarks the router against a direct connection and a plain TCP relay, in one"
                        + " run on the loopback interface.")
final class BenchCommand implements Callable<Integer> {

    @Option(
            names = "--round",
            description = "Duration of each round, in seconds.",
            defaultValue = "1")
    private double roundSeconds;

    @Option(names = "--codec", description = "Benchmark only the codec, with JMH.")
    private boolean codec;

    @Option(names = "--http", description = "Benchmark HTTP against the native protocol.")
    private boolean http;

    @Option(
            names = "--background",
            description =
                    "Benchmark short queries with and without background tasks at their limits.")
    private boolean background;

    @Override
    public Integer call() throws Exception {
        if (codec) {
            new Runner(new OptionsBuilder().include(CodecBench.class.getName()).build()).run();
            return 0;
        }
        if (http) {
            new HttpBench(System.out, (long) (roundSeconds * 1e9)).run();
            return 0;
        }
        if (background) {
            new BackgroundBench(System.out, (long) (roundSeconds * 1e9)).run();
            return 0;
        }
        new RouterBench(System.out, (long) (roundSeconds * 1e9)).run();
        return 0;
    }
}
