package ashlink.config;

import ashlink.config.ScenarioConfig.Fault;
import ashlink.config.ScenarioConfig.FaultKind;
import ashlink.config.ScenarioConfig.LoadClass;
import ashlink.config.ScenarioConfig.RouterSpec;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Reads load scenarios with injected faults: {@code (day ...)}. This class maps the words of the
 * file to types.
 */
public final class ScenarioConfigReader {

    private static final long MIN_DURATION_NS = 100 * Units.NS_PER_MS;
    private static final long MAX_DURATION_NS = Units.NS_PER_HOUR;
    private static final long MAX_RETRY_DELAY_NS = 60 * Units.NS_PER_S;
    private static final long MIN_WORK_NS = 1000;
    private static final long MAX_MEMORY_BYTES = 1024 * Units.TIB_BYTES;
    private static final double MAX_RATE_PER_S = 1e6;
    private static final double MAX_FACTOR = 1000;
    private static final int MAX_THREADS = 1024;
    private static final int MAX_RETRIES = 10;
    private static final int MAX_KEYS = 1_000_000;
    private static final int MAX_TABLE_GROUPS = 1_000_000;
    private static final Map<String, FaultKind> FAULT_KINDS = faultKinds();

    private ScenarioConfigReader() {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all problems of the file
     */
    public static ScenarioConfig read(Path path) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        return read(path.toString(), SExprReader.read(path, problems), problems);
    }

    /**
     * Reads a text.
     *
     * @param file name of the text in error messages
     * @throws ConfigException with all problems of the text
     */
    public static ScenarioConfig read(String file, String text) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        return read(file, SExprReader.read(file, text, problems), problems);
    }

    private static ScenarioConfig read(String file, List<Node> nodes, List<ConfigProblem> problems)
            throws ConfigException {
        Section top = Section.root(file, nodes, "day", problems);
        ScenarioConfig scenario = null;
        if (problems.isEmpty()) {
            scenario = scenario(top);
            top.close();
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return scenario;
    }

    private static ScenarioConfig scenario(Section top) {
        List<RouterSpec> routers = new ArrayList<>();
        top.namedSections("router").forEach((name, section) -> routers.add(router(name, section)));
        Map<String, EngineConfig> engines = new LinkedHashMap<>();
        top.namedSections("engine")
                .forEach(
                        (name, section) ->
                                engines.put(name, EngineConfigReader.engine(name, section)));
        List<LoadClass> load = new ArrayList<>();
        top.namedSections("load").forEach((name, section) -> load.add(load(name, section)));
        List<Fault> faults = faults(top, new FaultTargets(routers, engines, load));
        if (routers.isEmpty() || engines.isEmpty() || load.isEmpty()) {
            top.reject("day", "at least one router, one engine and one load");
        }
        return new ScenarioConfig(
                top.text("name", null),
                top.durationNs("duration", null, MIN_DURATION_NS, MAX_DURATION_NS),
                top.integer("seed", 1L, 0, Long.MAX_VALUE / 2),
                routers,
                engines,
                top.ratePerS("rate", null, MAX_RATE_PER_S),
                top.number("http-share", 0.0, 0, 1),
                load,
                faults,
                top.text("settings", ""));
    }

    private static RouterSpec router(String name, Section router) {
        try (Section section = router) {
            return new RouterSpec(name, section.text("zone", null));
        }
    }

    private static LoadClass load(String name, Section load) {
        try (Section section = load) {
            return new LoadClass(
                    name,
                    section.number("share", null, 0, 1),
                    section.durationNs("work", null, MIN_WORK_NS, MAX_DURATION_NS),
                    section.number("spread", 0.5, 0, 3),
                    (int) section.integer("threads", 1L, 1, MAX_THREADS),
                    section.number("io", 0.0, 0, 1),
                    section.sizeBytes("memory", Units.MIB_BYTES, 0, MAX_MEMORY_BYTES)
                            / (double) Units.MIB_BYTES,
                    section.durationNs("timeout", null, Units.NS_PER_MS, MAX_DURATION_NS),
                    section.text("user", "default"),
                    section.flag("write", false),
                    (int) section.integer("retries", 0L, 0, MAX_RETRIES),
                    section.durationNs("wait", 0L, 0, MAX_RETRY_DELAY_NS),
                    (int) section.integer("keys", 0L, 0, MAX_KEYS),
                    (int) section.integer("groups", 1L, 1, MAX_TABLE_GROUPS));
        }
    }

    private static List<Fault> faults(Section top, FaultTargets targets) {
        List<Fault> faults = new ArrayList<>();
        for (Section section : top.repeatedSections("trouble")) {
            try (section) {
                Fault fault = fault(section);
                Set<String> names = targets.names(fault.kind());
                if (!names.contains(fault.target())) {
                    section.reject("target", "one of " + String.join(", ", names));
                }
                faults.add(fault);
            }
        }
        return faults;
    }

    private static Fault fault(Section section) {
        return new Fault(
                section.choice("kind", null, FAULT_KINDS),
                section.durationNs("at", null, 0, MAX_DURATION_NS),
                section.durationNs("for", null, 0, MAX_DURATION_NS),
                section.text("target", ""),
                section.number("factor", 1.0, 0, MAX_FACTOR));
    }

    /** Routers, engines and query classes that the faults of a scenario may affect. */
    private record FaultTargets(
            List<RouterSpec> routers, Map<String, EngineConfig> engines, List<LoadClass> load) {

        /** Returns the accepted targets of a kind of fault; the empty name stands for no target. */
        Set<String> names(FaultKind kind) {
            return switch (kind) {
                case BURST, HOT_TABLE_GROUP, ENDPOINT_UPDATE_DELAY -> Set.of("");
                case HEAVY_TAIL -> names(load.stream().map(LoadClass::name));
                case ROUTER_CRASH, HOT_ROUTER -> names(routers.stream().map(RouterSpec::name));
                case ZONE_OUTAGE -> names(engines.values().stream().map(EngineConfig::zone));
                default -> engines.keySet();
            };
        }

        private static Set<String> names(Stream<String> names) {
            return names.collect(Collectors.toSet());
        }
    }

    private static Map<String, FaultKind> faultKinds() {
        Map<String, FaultKind> kindsByWord = new LinkedHashMap<>();
        kindsByWord.put("hang", FaultKind.HANG);
        kindsByWord.put("slow", FaultKind.SLOW);
        kindsByWord.put("age", FaultKind.DEGRADATION);
        kindsByWord.put("crash", FaultKind.CRASH);
        kindsByWord.put("drain", FaultKind.DRAIN);
        kindsByWord.put("lost-answers", FaultKind.LOST_RESPONSES);
        kindsByWord.put("router-kill", FaultKind.ROUTER_CRASH);
        kindsByWord.put("hall-lost", FaultKind.ZONE_OUTAGE);
        kindsByWord.put("burst", FaultKind.BURST);
        kindsByWord.put("refuse", FaultKind.CONNECTION_REFUSED);
        kindsByWord.put("heavy-tail", FaultKind.HEAVY_TAIL);
        kindsByWord.put("hot-group", FaultKind.HOT_TABLE_GROUP);
        kindsByWord.put("hot-caller", FaultKind.HOT_ROUTER);
        kindsByWord.put("list-late", FaultKind.ENDPOINT_UPDATE_DELAY);
        return kindsByWord;
    }
}
