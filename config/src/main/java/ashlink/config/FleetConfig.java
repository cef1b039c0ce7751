package ashlink.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The routers of a fleet and the credentials of an operator who controls them.
 *
 * @param keys directory with {@code ca.crt} and the operator's key and certificate
 * @param operator name of the operator, which selects the certificate
 * @param routers the routers by name
 */
public record FleetConfig(Path keys, String operator, Map<String, Member> routers) {

    /**
     * A router of the fleet.
     *
     * @param zone failure domain that the router runs in; may be empty
     * @param control address of the router's control channel
     * @param config settings file of the router
     * @param log log file of the router
     */
    public record Member(
            String name, String zone, InetSocketAddress control, Path config, Path log) {}

    /**
     * Reads a file with {@code (fleet ...)}. Relative paths in the file are resolved against the
     * directory of the file.
     *
     * @throws ConfigException with all problems of the file
     */
    public static FleetConfig read(Path file) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        List<Node> nodes = SExprReader.read(file, problems);
        Section top = Section.root(file.toString(), nodes, "fleet", problems);
        FleetConfig fleet = null;
        if (problems.isEmpty()) {
            fleet = readFleet(top, file.toAbsolutePath().getParent());
            top.close();
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return fleet;
    }

    private static FleetConfig readFleet(Section top, Path directory) {
        Map<String, Member> routers = new LinkedHashMap<>();
        top.namedSections("router")
                .forEach((name, section) -> routers.put(name, member(name, section, directory)));
        if (routers.isEmpty()) {
            top.reject(
                    "router",
                    "at least one section (router NAME (hall ZONE) (control HOST:PORT) (config"
                            + " FILE) (log FILE))");
        }
        return new FleetConfig(
                directory.resolve(top.text("keys", "keys")), top.text("operator", null), routers);
    }

    private static Member member(String name, Section router, Path directory) {
        try (Section section = router) {
            return new Member(
                    name,
                    section.text("hall", ""),
                    section.address("control", null),
                    directory.resolve(section.text("config", name + ".sexp")),
                    directory.resolve(section.text("log", name + ".log")));
        }
    }
}
