package ashlink.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the settings of stand-in engines: {@code (engines (engine NAME ...) ...)}. */
public final class EngineConfigReader {

    private static final long S = 1_000_000_000L;

    private EngineConfigReader() {}

    /** Reads a file whole; an exception tells all that is wrong with it. */
    public static List<EngineConfig> read(Path path) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        List<Node> nodes = SExprReader.read(path, problems);
        List<EngineConfig> engines = new ArrayList<>();
        Section top = Section.top(path.toString(), nodes, "engines", problems);
        if (problems.isEmpty()) {
            top.named("engine").forEach((name, section) -> engines.add(engine(name, section)));
            top.close();
            if (engines.isEmpty()) {
                top.problem("engine", "one section (engine NAME ...) at least");
            }
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return engines;
    }

    static EngineConfig engine(String name, Section section) {
        try (Section s = section) {
            int cores = (int) s.whole("cores", 8L, 1, 4096);
            return new EngineConfig(
                    name,
                    s.address("listen", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
                    s.text("zone", ""),
                    s.text("kind", ""),
                    cores,
                    s.size("memory", 16L << 30, 1 << 20, 1L << 50) / (double) (1 << 20),
                    s.number("speed", 1.0, 0.001, 1000),
                    s.number("knee", 1.8, 0.1, 100),
                    s.number("thrash", 0.35, 0, 0.99),
                    s.number("spill", 2.0, 0, 100),
                    s.flag("memory-line", true),
                    s.number("disks", 0.6, 0.01, 10),
                    s.number("cold-from", 0.35, 0.01, 1),
                    s.duration("cold-time", 0L, 0, 3600 * S),
                    s.number("fall-multiple", 0.0, 0, 100),
                    s.duration("fall-time", 3 * S, 1_000_000, 3600 * S),
                    s.flag("heeds-cancel", true),
                    (int) s.whole("sessions", 8L * cores, 1, 1_000_000),
                    s.whole("seed", 1L, 0, Long.MAX_VALUE / 2),
                    s.has("ledger") ? Path.of(s.text("ledger", "")) : null);
        }
    }
}
