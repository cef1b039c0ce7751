package ashlink.loadtest.bench;

import ashlink.config.EngineConfig;
import ashlink.emulator.EmulatedEngine;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.Arrays;

/** Helpers of the benchmarks: an engine without a CPU limit, process metrics and statistics. */
final class Figures {

    private Figures() {}

    static EmulatedEngine engine(String name) throws IOException {
        // Practically unlimited cores: the benchmarks measure the path to the engine, not the
        // engine.
        EmulatedEngine emulatedEngine =
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
        emulatedEngine.start();
        return emulatedEngine;
    }

    static long used() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    static long resident() {
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

    static long cpuNs() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    static double least(double[] values) {
        return Arrays.stream(values).min().orElse(0);
    }

    static double most(double[] values) {
        return Arrays.stream(values).max().orElse(0);
    }
}
