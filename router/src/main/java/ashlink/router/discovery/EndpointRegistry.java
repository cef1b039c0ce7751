package ashlink.router.discovery;

import ashlink.config.RouterConfig.EngineSpec;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.EndpointsChanged;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What is believed of each engine: where it stands by the list, and when its process started, by
 * what it tells of its time up and by how connections to it fare. Decides only; times are the
 * caller's, in nanoseconds.
 *
 * <p>An engine that restarts unseen would be given its full load while cold. Two signs tell of a
 * restart: its time up is shorter than it should be, or it took a connection after one that could
 * not be made. The second comes with the first connection, before any query; the first corrects it.
 */
public final class EndpointRegistry {

    /**
     * Difference of two told start times up to which they are the same: engines tell whole seconds.
     */
    private static final long SAME_START_NS = 2_000_000_000L;

    private static final class Known {
        EngineSpec spec;
        EndpointState phase;
        long startedNs;
        boolean unreachable;
        boolean assumed;
    }

    private final long coldNs;
    private final Map<String, Known> engines = new LinkedHashMap<>();

    /** A roster for engines that are cold for that long after their start. */
    public EndpointRegistry(long coldNs) {
        this.coldNs = coldNs;
    }

    /** The whole list is now this one. */
    public EndpointsChanged configure(Iterable<EngineSpec> specs) {
        Map<String, Known> before = new LinkedHashMap<>(engines);
        engines.clear();
        for (EngineSpec engineSpec : specs) {
            Known known = before.getOrDefault(engineSpec.name(), new Known());
            boolean moved =
                    known.spec != null && !known.spec.address().equals(engineSpec.address());
            if (moved) {
                known = new Known(); // another process under the same name
            }
            known.spec = engineSpec;
            known.phase = engineSpec.phase();
            engines.put(engineSpec.name(), known);
        }
        return new EndpointsChanged(EndpointListKind.SNAPSHOT, entries());
    }

    /**
     * The list says that of one engine; nothing where the engine is not known or nothing changes.
     */
    public Optional<EndpointsChanged> phase(String engine, EndpointState phase) {
        Known known = engines.get(engine);
        if (known == null || known.phase == phase) {
            return Optional.empty();
        }
        known.phase = phase;
        return Optional.of(changed(known));
    }

    /** An engine told how long it has been up. */
    public Optional<EndpointsChanged> uptime(String engine, long upNs, long now) {
        Known known = engines.get(engine);
        if (known == null || upNs < 0) {
            return Optional.empty();
        }
        long started = now - upNs;
        boolean longAgo = known.startedNs == 0 && upNs >= coldNs;
        boolean same = known.startedNs != 0 && Math.abs(started - known.startedNs) <= SAME_START_NS;
        boolean older =
                known.startedNs != 0
                        && started < known.startedNs
                        && !known.assumed; // rounding, or a late answer
        if (longAgo || same || older) {
            return Optional.empty();
        }
        known.startedNs = upNs >= coldNs ? 0 : Math.max(1, started); // 0 is long ago
        known.assumed = false;
        return Optional.of(changed(known));
    }

    /** No connection could be made to an engine. */
    public void unreachable(String engine) {
        Known known = engines.get(engine);
        if (known != null) {
            known.unreachable = true;
        }
    }

    /**
     * A connection was made; after one that failed the engine counts as just started, until it
     * tells otherwise.
     */
    public Optional<EndpointsChanged> connected(String engine, long now) {
        Known known = engines.get(engine);
        if (known == null || !known.unreachable) {
            return Optional.empty();
        }
        known.unreachable = false;
        if (coldNs <= 0) {
            return Optional.empty();
        }
        known.startedNs = now;
        known.assumed = true;
        return Optional.of(changed(known));
    }

    /** The start times in hand, for a list that is kept; 0 is long ago. */
    public List<Endpoint> entries() {
        List<Endpoint> entries = new ArrayList<>();
        for (Known known : engines.values()) {
            if (known.phase != EndpointState.REMOVED) {
                entries.add(entry(known));
            }
        }
        return entries;
    }

    /**
     * Believes a list that was kept through a restart, where the engines in it are still configured
     * alike.
     */
    public void remember(Iterable<Endpoint> kept) {
        for (Endpoint endpoint : kept) {
            Known known = engines.get(endpoint.engine());
            if (known != null && known.startedNs == 0) {
                known.startedNs = Math.max(0, endpoint.startedNs());
            }
        }
    }

    private static EndpointsChanged changed(Known known) {
        return new EndpointsChanged(EndpointListKind.DELTA, List.of(entry(known)));
    }

    private static Endpoint entry(Known known) {
        EngineSpec engineSpec = known.spec;
        return new Endpoint(
                engineSpec.name(),
                known.phase,
                engineSpec.zone(),
                engineSpec.kind(),
                engineSpec.cell(),
                known.startedNs);
    }
}
