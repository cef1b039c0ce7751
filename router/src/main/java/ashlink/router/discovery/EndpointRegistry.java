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
        for (EngineSpec s : specs) {
            Known k = before.getOrDefault(s.name(), new Known());
            boolean moved = k.spec != null && !k.spec.address().equals(s.address());
            if (moved) {
                k = new Known(); // another process under the same name
            }
            k.spec = s;
            k.phase = s.phase();
            engines.put(s.name(), k);
        }
        return new EndpointsChanged(EndpointListKind.SNAPSHOT, entries());
    }

    /**
     * The list says that of one engine; nothing where the engine is not known or nothing changes.
     */
    public Optional<EndpointsChanged> phase(String engine, EndpointState phase) {
        Known k = engines.get(engine);
        if (k == null || k.phase == phase) {
            return Optional.empty();
        }
        k.phase = phase;
        return Optional.of(changed(k));
    }

    /** An engine told how long it has been up. */
    public Optional<EndpointsChanged> uptime(String engine, long upNs, long now) {
        Known k = engines.get(engine);
        if (k == null || upNs < 0) {
            return Optional.empty();
        }
        long started = now - upNs;
        boolean longAgo = k.startedNs == 0 && upNs >= coldNs;
        boolean same = k.startedNs != 0 && Math.abs(started - k.startedNs) <= SAME_START_NS;
        boolean older =
                k.startedNs != 0
                        && started < k.startedNs
                        && !k.assumed; // rounding, or a late answer
        if (longAgo || same || older) {
            return Optional.empty();
        }
        k.startedNs = upNs >= coldNs ? 0 : Math.max(1, started); // 0 is long ago
        k.assumed = false;
        return Optional.of(changed(k));
    }

    /** No connection could be made to an engine. */
    public void unreachable(String engine) {
        Known k = engines.get(engine);
        if (k != null) {
            k.unreachable = true;
        }
    }

    /**
     * A connection was made; after one that failed the engine counts as just started, until it
     * tells otherwise.
     */
    public Optional<EndpointsChanged> connected(String engine, long now) {
        Known k = engines.get(engine);
        if (k == null || !k.unreachable) {
            return Optional.empty();
        }
        k.unreachable = false;
        if (coldNs <= 0) {
            return Optional.empty();
        }
        k.startedNs = now;
        k.assumed = true;
        return Optional.of(changed(k));
    }

    /** The start times in hand, for a list that is kept; 0 is long ago. */
    public List<Endpoint> entries() {
        List<Endpoint> entries = new ArrayList<>();
        for (Known k : engines.values()) {
            if (k.phase != EndpointState.REMOVED) {
                entries.add(entry(k));
            }
        }
        return entries;
    }

    /**
     * Believes a list that was kept through a restart, where the engines in it are still configured
     * alike.
     */
    public void remember(Iterable<Endpoint> kept) {
        for (Endpoint e : kept) {
            Known k = engines.get(e.engine());
            if (k != null && k.startedNs == 0) {
                k.startedNs = Math.max(0, e.startedNs());
            }
        }
    }

    private static EndpointsChanged changed(Known k) {
        return new EndpointsChanged(EndpointListKind.DELTA, List.of(entry(k)));
    }

    private static Endpoint entry(Known k) {
        EngineSpec s = k.spec;
        return new Endpoint(s.name(), k.phase, s.zone(), s.kind(), s.cell(), k.startedNs);
    }
}
