package ashlink.decisions;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event.EndpointsChanged;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The engines listed by service discovery, in the order of their first listing. An engine that is
 * no longer listed is kept until it has no load from this router.
 */
final class EngineDirectory {

    private final List<EngineKind> kinds;
    private final Map<String, EngineState> engines = new LinkedHashMap<>();

    EngineDirectory(List<EngineKind> kinds) {
        this.kinds = kinds;
    }

    /** Returns the engine with the given name, or null if it is unknown. */
    EngineState find(String name) {
        return engines.get(name);
    }

    Collection<EngineState> all() {
        return engines.values();
    }

    /** Returns a new list of the engines that accept queries. */
    List<EngineState> ready() {
        List<EngineState> ready = new ArrayList<>();
        for (EngineState engine : engines.values()) {
            if (engine.isReady()) {
                ready.add(engine);
            }
        }
        return ready;
    }

    /**
     * Applies an endpoint list.
     *
     * @param change an endpoint list of any kind but {@link EndpointListKind#UNAVAILABLE}
     * @param onRestart called for each engine that is new or has restarted
     */
    void apply(EndpointsChanged change, Consumer<EngineState> onRestart) {
        Set<String> listed = new HashSet<>();
        for (Endpoint endpoint : change.endpoints()) {
            listed.add(endpoint.engine());
            apply(endpoint, onRestart);
        }
        if (change.kind() == EndpointListKind.DELTA) {
            return;
        }
        for (EngineState engine : engines.values()) {
            if (!listed.contains(engine.name)) {
                engine.endpoint = null;
            }
        }
    }

    private void apply(Endpoint endpoint, Consumer<EngineState> onRestart) {
        EngineState engine = engines.computeIfAbsent(endpoint.engine(), EngineState::new);
        boolean restarted =
                engine.endpoint == null || endpoint.startedNs() > engine.endpoint.startedNs();
        engine.endpoint = endpoint.state() == EndpointState.REMOVED ? null : endpoint;
        for (EngineKind kind : kinds) {
            if (kind.name().equals(endpoint.kind())) {
                engine.cores = kind.cores();
                engine.memoryMb = kind.memoryMb();
            }
        }
        if (restarted) {
            engine.resetAfterRestart();
            onRestart.accept(engine);
        }
    }

    /** Removes the engines that are no longer listed and have no load from this router. */
    void removeUnused() {
        engines.values()
                .removeIf(
                        engine ->
                                engine.endpoint == null
                                        && engine.runningQueries.isEmpty()
                                        && engine.abandonedAttempts.isEmpty());
    }
}
