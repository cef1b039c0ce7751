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
 * Holds the state and the start time of each configured engine. Start times are derived from the
 * uptimes that engines report and from connection attempts that succeed or fail. The registry
 * performs no I/O, and callers pass times in nanoseconds on the clock of the core. Not thread-safe.
 *
 * <p>An engine receives reduced load while it warms up after a start; if a restart went undetected,
 * the engine would receive its full load immediately. A restart is detected by an uptime that is
 * shorter than expected, or by a connection that succeeds after one that failed. The connection
 * reveals the restart before the first query; the next reported uptime replaces the start time
 * assumed from the connection.
 */
public final class EndpointRegistry {

    /**
     * Maximum difference of start times that are treated as equal; engines report their uptime in
     * seconds.
     */
    private static final long START_TIME_TOLERANCE_NS = 2_000_000_000L;

    /** Start time of an engine that has finished its warm-up. */
    private static final long WARM_UP_FINISHED = 0;

    private static final class EngineRecord {
        EngineSpec spec;
        EndpointState state;
        long startedNs = WARM_UP_FINISHED;

        /** Whether the last connection attempt failed. */
        boolean unreachable;

        /**
         * Whether the start time was assumed after a failed connection and not reported by the
         * engine.
         */
        boolean startAssumed;
    }

    private final long slowStartNs;
    private final Map<String, EngineRecord> engines = new LinkedHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param slowStartNs duration of the warm-up after the start of an engine
     */
    public EndpointRegistry(long slowStartNs) {
        this.slowStartNs = slowStartNs;
    }

    /**
     * Replaces the configured engines. An engine with a new address is treated as a new process.
     */
    public EndpointsChanged configure(Iterable<EngineSpec> specs) {
        Map<String, EngineRecord> previous = new LinkedHashMap<>(engines);
        engines.clear();
        for (EngineSpec spec : specs) {
            EngineRecord engine = previous.getOrDefault(spec.name(), new EngineRecord());
            boolean hasNewAddress =
                    engine.spec != null && !engine.spec.address().equals(spec.address());
            if (hasNewAddress) {
                engine = new EngineRecord();
            }
            engine.spec = spec;
            engine.state = spec.state();
            engines.put(spec.name(), engine);
        }
        return new EndpointsChanged(EndpointListKind.SNAPSHOT, endpoints());
    }

    /**
     * Sets the state of an engine; returns empty if the engine is unknown or already has the state.
     */
    public Optional<EndpointsChanged> setState(String name, EndpointState state) {
        EngineRecord engine = engines.get(name);
        if (engine == null || engine.state == state) {
            return Optional.empty();
        }
        engine.state = state;
        return Optional.of(delta(engine));
    }

    /**
     * Records the uptime that an engine reported; returns empty if the start time of the engine
     * does not change.
     */
    public Optional<EndpointsChanged> recordUptime(String name, long uptimeNs, long nowNs) {
        EngineRecord engine = engines.get(name);
        if (engine == null || uptimeNs < 0) {
            return Optional.empty();
        }
        long startedNs = nowNs - uptimeNs;
        boolean isStartKnown = engine.startedNs != WARM_UP_FINISHED;
        boolean isWarmUpFinished = uptimeNs >= slowStartNs;
        boolean isUnchanged =
                isStartKnown && Math.abs(startedNs - engine.startedNs) <= START_TIME_TOLERANCE_NS;
        // A start time before a reported one results from rounding or from a delayed response.
        boolean isStale = isStartKnown && startedNs < engine.startedNs && !engine.startAssumed;
        if (!isStartKnown && isWarmUpFinished || isUnchanged || isStale) {
            return Optional.empty();
        }
        engine.startedNs = isWarmUpFinished ? WARM_UP_FINISHED : Math.max(1, startedNs);
        engine.startAssumed = false;
        return Optional.of(delta(engine));
    }

    /** Records that a connection to an engine failed. */
    public void recordConnectFailure(String name) {
        EngineRecord engine = engines.get(name);
        if (engine != null) {
            engine.unreachable = true;
        }
    }

    /**
     * Records a successful connection to an engine. If the previous connection failed, the engine
     * is assumed to have just started, until it reports an uptime.
     */
    public Optional<EndpointsChanged> recordConnection(String name, long nowNs) {
        EngineRecord engine = engines.get(name);
        if (engine == null || !engine.unreachable) {
            return Optional.empty();
        }
        engine.unreachable = false;
        if (slowStartNs <= 0) {
            return Optional.empty();
        }
        engine.startedNs = nowNs;
        engine.startAssumed = true;
        return Optional.of(delta(engine));
    }

    /**
     * Returns the engines that are not removed, with their start times; the start time of an engine
     * that has finished its warm-up is 0.
     */
    public List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (EngineRecord engine : engines.values()) {
            if (engine.state != EndpointState.REMOVED) {
                endpoints.add(endpoint(engine));
            }
        }
        return endpoints;
    }

    /** Restores the start times of a stored list for the engines that are still configured. */
    public void restore(Iterable<Endpoint> stored) {
        for (Endpoint endpoint : stored) {
            EngineRecord engine = engines.get(endpoint.engine());
            if (engine != null && engine.startedNs == WARM_UP_FINISHED) {
                engine.startedNs = Math.max(0, endpoint.startedNs());
            }
        }
    }

    private static EndpointsChanged delta(EngineRecord engine) {
        return new EndpointsChanged(EndpointListKind.DELTA, List.of(endpoint(engine)));
    }

    private static Endpoint endpoint(EngineRecord engine) {
        EngineSpec spec = engine.spec;
        return new Endpoint(
                spec.name(), engine.state, spec.zone(), spec.kind(), spec.cell(), engine.startedNs);
    }
}
