package ashlink.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The routers of a fleet, for who handles them together.
 *
 * @param keys folder with {@code ca.crt} and the operator's key and certificate
 */
public record FleetConfig(Path keys, String operator, Map<String, Member> routers) {

    /** A router: its hall, its control address, its settings and the file of its log. */
    public record Member(
            String name, String hall, InetSocketAddress control, Path config, Path log) {}

    /**
     * Reads {@code (fleet ...)}; paths are relative to the file. An exception tells all that is
     * wrong with it.
     */
    public static FleetConfig read(Path file) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        List<Node> nodes = SExprReader.read(file, problems);
        Section top = Section.top(file.toString(), nodes, "fleet", problems);
        FleetConfig fleet = null;
        if (problems.isEmpty()) {
            Path dir = file.toAbsolutePath().getParent();
            Map<String, Member> routers = new LinkedHashMap<>();
            top.named("router")
                    .forEach(
                            (name, section) -> {
                                try (section) {
                                    routers.put(
                                            name,
                                            new Member(
                                                    name,
                                                    section.text("hall", ""),
                                                    section.address("control", null),
                                                    dir.resolve(
                                                            section.text("config", name + ".sexp")),
                                                    dir.resolve(
                                                            section.text("log", name + ".log"))));
                                }
                            });
            if (routers.isEmpty()) {
                top.problem(
                        "router",
                        "a router at least: (router NAME (hall H) (control host:port) (config FILE)"
                                + " (log FILE))");
            }
            fleet =
                    new FleetConfig(
                            dir.resolve(top.text("keys", "keys")),
                            top.text("operator", null),
                            routers);
            top.close();
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return fleet;
    }
}
