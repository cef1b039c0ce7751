package ashlink.config;

import ashlink.config.RouterConfig.EngineSpec;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads engine kinds and engines: {@code (kind NAME ...)} and {@code (engine NAME ...)}. */
final class TopologyReader {

    private static final int MAX_CORES = 4096;
    private static final long MAX_MEMORY_BYTES = 1024 * Units.TIB_BYTES;

    /** Engine states that a settings file may set, by the words of the file. */
    private static final Map<String, EndpointState> ENGINE_STATES = engineStates();

    private TopologyReader() {}

    static List<EngineKind> engineKinds(Section top) {
        List<EngineKind> kinds = new ArrayList<>();
        top.namedSections("kind").forEach((name, section) -> kinds.add(engineKind(name, section)));
        return kinds;
    }

    private static EngineKind engineKind(String name, Section kind) {
        try (Section section = kind) {
            int cores = (int) section.integer("cores", null, 1, MAX_CORES);
            long memoryBytes = section.sizeBytes("memory", 0L, 0, MAX_MEMORY_BYTES);
            return new EngineKind(name, cores, memoryBytes / (double) Units.MIB_BYTES);
        }
    }

    static Map<String, EngineSpec> engines(
            Section top, List<EngineKind> kinds, Collection<String> zones) {
        List<String> kindNames = kinds.stream().map(EngineKind::name).toList();
        Map<String, EngineSpec> engines = new LinkedHashMap<>();
        top.namedSections("engine")
                .forEach(
                        (name, section) ->
                                engines.put(name, engine(name, section, kindNames, zones)));
        return engines;
    }

    private static EngineSpec engine(
            String name, Section engine, List<String> kindNames, Collection<String> zones) {
        try (Section section = engine) {
            EngineSpec spec =
                    new EngineSpec(
                            name,
                            section.address("address", null),
                            section.text("zone", ""),
                            section.text("kind", ""),
                            section.integer("cell", 0L, 0, Integer.MAX_VALUE),
                            section.choice("phase", EndpointState.READY, ENGINE_STATES));
            section.checkOneOf("zone", spec.zone(), zones);
            section.checkOneOf("kind", spec.kind(), kindNames);
            return spec;
        }
    }

    private static Map<String, EndpointState> engineStates() {
        Map<String, EndpointState> statesByWord = new LinkedHashMap<>();
        statesByWord.put("ready", EndpointState.READY);
        statesByWord.put("draining", EndpointState.DRAINING);
        return statesByWord;
    }
}
