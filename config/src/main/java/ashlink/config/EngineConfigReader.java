package ashlink.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the settings of emulated engines: {@code (engines (engine NAME ...) ...)}. */
public final class EngineConfigReader {

    private static final long MAX_DURATION_NS = Units.NS_PER_HOUR;
    private static final long MAX_MEMORY_BYTES = 1024 * Units.TIB_BYTES;
    private static final int MAX_CORES = 4096;
    private static final int MAX_SESSIONS = 1_000_000;
    private static final long DEFAULT_SESSIONS_PER_CORE = 8;

    private EngineConfigReader() {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all problems of the file
     */
    public static List<EngineConfig> read(Path path) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        List<Node> nodes = SExprReader.read(path, problems);
        List<EngineConfig> engines = new ArrayList<>();
        Section top = Section.root(path.toString(), nodes, "engines", problems);
        if (problems.isEmpty()) {
            top.namedSections("engine")
                    .forEach((name, section) -> engines.add(engine(name, section)));
            top.close();
            if (engines.isEmpty()) {
                top.reject("engine", "at least one section (engine NAME ...)");
            }
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return engines;
    }

    static EngineConfig engine(String name, Section engine) {
        try (Section section = engine) {
            int cores = (int) section.integer("cores", 8L, 1, MAX_CORES);
            InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            return new EngineConfig(
                    name,
                    section.address("listen", anyPort),
                    section.text("zone", ""),
                    section.text("kind", ""),
                    cores,
                    memoryMb(section),
                    section.number("speed", 1.0, 0.001, 1000),
                    section.number("knee", 1.8, 0.1, 100),
                    section.number("thrash", 0.35, 0, 0.99),
                    section.number("spill", 2.0, 0, 100),
                    section.flag("memory-line", true),
                    section.number("disks", 0.6, 0.01, 10),
                    section.number("cold-from", 0.35, 0.01, 1),
                    section.durationNs("cold-time", 0L, 0, MAX_DURATION_NS),
                    section.number("fall-multiple", 0.0, 0, 100),
                    section.durationNs(
                            "fall-time", 3 * Units.NS_PER_S, Units.NS_PER_MS, MAX_DURATION_NS),
                    section.flag("heeds-cancel", true),
                    (int)
                            section.integer(
                                    "sessions", DEFAULT_SESSIONS_PER_CORE * cores, 1, MAX_SESSIONS),
                    section.integer("seed", 1L, 0, Long.MAX_VALUE / 2),
                    section.has("ledger") ? Path.of(section.text("ledger", "")) : null);
        }
    }

    private static double memoryMb(Section section) {
        long bytes =
                section.sizeBytes(
                        "memory", 16 * Units.GIB_BYTES, Units.MIB_BYTES, MAX_MEMORY_BYTES);
        return bytes / (double) Units.MIB_BYTES;
    }
}
