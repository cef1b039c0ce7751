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

/** Reads scripted days: {@code (day ...)}. */
public final class ScenarioConfigReader {

    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;

    private ScenarioConfigReader() {}

    /** Reads a file whole; an exception tells all that is wrong with it. */
    public static ScenarioConfig read(Path path) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        return read(path.toString(), SExprReader.read(path, problems), problems);
    }

    /** Reads a text that is named {@code file} in errors. */
    public static ScenarioConfig read(String file, String text) throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        return read(file, SExprReader.read(file, text, problems), problems);
    }

    private static ScenarioConfig read(String file, List<Node> nodes, List<ConfigProblem> problems)
            throws ConfigException {
        Section top = Section.top(file, nodes, "day", problems);
        ScenarioConfig day = problems.isEmpty() ? day(top) : null;
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return day;
    }

    private static ScenarioConfig day(Section top) {
        List<RouterSpec> routers = new ArrayList<>();
        top.named("router")
                .forEach(
                        (name, section) -> {
                            try (section) {
                                routers.add(new RouterSpec(name, section.text("zone", null)));
                            }
                        });
        Map<String, EngineConfig> engines = new LinkedHashMap<>();
        top.named("engine")
                .forEach(
                        (name, section) ->
                                engines.put(name, EngineConfigReader.engine(name, section)));
        List<LoadClass> load = new ArrayList<>();
        top.named("load").forEach((name, section) -> load.add(load(name, section)));
        Set<String> zones =
                engines.values().stream().map(EngineConfig::zone).collect(Collectors.toSet());
        Set<String> names = routers.stream().map(RouterSpec::name).collect(Collectors.toSet());
        List<Fault> troubles = new ArrayList<>();
        for (Section section : top.each("trouble")) {
            try (section) {
                Fault fault =
                        new Fault(
                                section.choice("kind", null, FaultKind.class),
                                section.duration("at", null, 0, 3600 * S),
                                section.duration("for", null, 0, 3600 * S),
                                section.text("target", ""),
                                section.number("factor", 1.0, 0, 1000));
                Set<String> targets =
                        switch (fault.kind()) {
                            case BURST, HOT_GROUP, LIST_LATE -> Set.of("");
                            case HEAVY_TAIL ->
                                    load.stream().map(LoadClass::name).collect(Collectors.toSet());
                            case ROUTER_KILL, HOT_CALLER -> names;
                            case HALL_LOST -> zones;
                            default -> engines.keySet();
                        };
                if (!targets.contains(fault.target())) {
                    section.problem("target", "one of " + String.join(", ", targets));
                }
                troubles.add(fault);
            }
        }
        if (routers.isEmpty() || engines.isEmpty() || load.isEmpty()) {
            top.problem("day", "a router, an engine and a load at least");
        }
        ScenarioConfig day =
                new ScenarioConfig(
                        top.text("name", null),
                        top.duration("duration", null, 100 * MS, 3600 * S),
                        top.whole("seed", 1L, 0, Long.MAX_VALUE / 2),
                        routers,
                        engines,
                        top.rate("rate", null, 1e6),
                        top.number("http-share", 0.0, 0, 1),
                        load,
                        troubles,
                        top.text("settings", ""));
        top.close();
        return day;
    }

    private static LoadClass load(String name, Section section) {
        try (Section s = section) {
            return new LoadClass(
                    name,
                    s.number("share", null, 0, 1),
                    s.duration("work", null, 1000, 3600 * S),
                    s.number("spread", 0.5, 0, 3),
                    (int) s.whole("threads", 1L, 1, 1024),
                    s.number("io", 0.0, 0, 1),
                    s.size("memory", 1L << 20, 0, 1L << 50) / (double) (1 << 20),
                    s.duration("timeout", null, MS, 3600 * S),
                    s.text("user", "default"),
                    s.flag("write", false),
                    (int) s.whole("retries", 0L, 0, 10),
                    s.duration("wait", 0L, 0, 60 * S),
                    (int) s.whole("keys", 0L, 0, 1_000_000),
                    (int) s.whole("groups", 1L, 1, 1_000_000));
        }
    }
}
