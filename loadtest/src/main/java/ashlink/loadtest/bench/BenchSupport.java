package ashlink.loadtest.bench;

import ashlink.config.EngineConfig;
import ashlink.emulator.EmulatedEngine;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.Arrays;

/** Helpers of the benchmarks: an engine without a CPU limit, process metrics and statistics. */
final class BenchSupport {

    private BenchSupport() {}

    static EmulatedEngine startEngine(String name) throws IOException {
        // Practically unlimited cores: the benchmarks measure the path to the engine, not the
        // engine.
        EmulatedEngine engine =
                new EmulatedEngine(
                        new EngineConfig(
                                name,
                                new InetSocketAddress("127.0.0.1", 0),
                                "halle-1",
                                "typ-a",
                                4096,
                                1 << 30,
                                1,
                                1.7,
                                0.35,
                                2,
                                false,
                                10,
                                1,
                                0,
                                0,
                                1_000_000_000L,
                                true,
                                100_000,
                                1,
                                null));
        engine.start();
        return engine;
    }

    static long heapUsedBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    static long residentBytes() {
        try {
            for (String line :
                    java.nio.file.Files.readAllLines(java.nio.file.Path.of("/proc/self/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    static long processCpuNs() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    static double min(double[] values) {
        return Arrays.stream(values).min().orElse(0);
    }

    static double max(double[] values) {
        return Arrays.stream(values).max().orElse(0);
    }
}
