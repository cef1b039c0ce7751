package ashlink.config;

import ashlink.config.RouterConfig.ClassRule;
import ashlink.config.RouterConfig.EngineLogin;
import ashlink.config.RouterConfig.EngineSpec;
import ashlink.config.RouterConfig.UserSpec;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.Tenant;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the settings file of a router, {@code (router ...)}. This class reads the settings of the
 * top level and calls the readers of the sections. It passes the defined names to the readers that
 * check references between sections.
 */
public final class RouterConfigReader {

    private static final int MAX_ROUTERS = 100_000;
    private static final int DEFAULT_NATIVE_PORT = 9000;

    private final List<ConfigProblem> problems = new ArrayList<>();

    private RouterConfigReader() {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all problems of the file
     */
    public static RouterConfig read(Path path) throws ConfigException {
        RouterConfigReader reader = new RouterConfigReader();
        return reader.read(path.toString(), SExprReader.read(path, reader.problems));
    }

    /**
     * Reads a text.
     *
     * @param file name of the text in error messages
     * @throws ConfigException with all problems of the text
     */
    public static RouterConfig read(String file, String text) throws ConfigException {
        RouterConfigReader reader = new RouterConfigReader();
        return reader.read(file, SExprReader.read(file, text, reader.problems));
    }

    private RouterConfig read(String file, List<Node> nodes) throws ConfigException {
        Section top = Section.root(file, nodes, "router", problems);
        RouterConfig config = null;
        if (problems.isEmpty()) {
            config = readRouter(top);
            top.close();
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return config;
    }

    /** Reads all settings. Problems are reported in the order in which the settings are read. */
    private static RouterConfig readRouter(Section top) {
        String name = top.text("name", null);
        int routerCount = (int) top.integer("gateways", 1L, 1, MAX_ROUTERS);
        int routerIndex = (int) top.integer("position", 0L, 0, routerCount - 1L);
        List<EngineKind> engineKinds = TopologyReader.engineKinds(top);
        Set<String> zones = top.words("zones");
        String zone = top.text("zone", zones.isEmpty() ? "" : zones.iterator().next());
        top.checkOneOf("zone", zone, zones);
        Map<String, EngineSpec> engines = TopologyReader.engines(top, engineKinds, zones);
        Workload workload = workload(top, engineKinds, zones);
        Listeners listeners = listeners(top);
        EngineLogin engineLogin = engineLogin(top);
        Path stateDir = top.has("state-dir") ? Path.of(top.text("state-dir", "")) : null;
        return new RouterConfig(
                name,
                zone,
                top.integer("seed", 1L, 0, Long.MAX_VALUE / 2),
                routerCount,
                routerIndex,
                listeners.nativeProtocol(),
                listeners.metrics(),
                stateDir,
                ResourceLimitsReader.read(top),
                engineKinds,
                engines,
                workload.queryClasses(),
                workload.rules(),
                workload.defaultClass(),
                workload.defaultWriteClass(),
                workload.users(),
                workload.tenants(),
                top.number("over-share-worth", 1.0, 0, 1),
                PolicyReader.capabilities(top),
                PolicyReader.policyLimits(top),
                LoadMetricsReader.read(top),
                engineLogin,
                CaptureConfigReader.read(top),
                HttpConfigReader.read(top),
                ControlConfigReader.read(top));
    }

    /** The classes, tenants, users and rules, which refer to each other by name. */
    private record Workload(
            Map<String, QueryClass> queryClasses,
            List<Tenant> tenants,
            Map<String, UserSpec> users,
            List<ClassRule> rules,
            String defaultClass,
            String defaultWriteClass) {}

    private static Workload workload(Section top, List<EngineKind> engineKinds, Set<String> zones) {
        Map<String, QueryClass> queryClasses =
                QueryClassReader.queryClasses(top, engineKinds, zones);
        List<Tenant> tenants = UserReader.tenants(top);
        Map<String, UserSpec> users = UserReader.users(top, tenants);
        return new Workload(
                queryClasses,
                tenants,
                users,
                ClassRuleReader.rules(top, queryClasses.keySet(), users.keySet()),
                QueryClassReader.defaultClass(top, queryClasses),
                QueryClassReader.defaultWriteClass(top, queryClasses));
    }

    /** Addresses to listen on; {@code metrics} is null if there is no metrics endpoint. */
    private record Listeners(InetSocketAddress nativeProtocol, InetSocketAddress metrics) {}

    private static Listeners listeners(Section top) {
        try (Section section = top.section("listen")) {
            InetSocketAddress loopback =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), DEFAULT_NATIVE_PORT);
            return new Listeners(
                    section.address("native", loopback),
                    section.has("metrics") ? section.address("metrics", null) : null);
        }
    }

    private static EngineLogin engineLogin(Section top) {
        try (Section section = top.section("engine-login")) {
            return new EngineLogin(section.text("user", "default"), section.text("password", ""));
        }
    }
}
