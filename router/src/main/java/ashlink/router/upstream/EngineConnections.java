package ashlink.router.upstream;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.EngineSpec;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.router.core.CoreClock;
import ashlink.router.core.EngineTransport;
import ashlink.router.discovery.EndpointRegistry;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/**
 * Manages the engines of the endpoint list: their states, connection pools and health checks.
 * Endpoint changes are passed to the core in the order in which the registry reports them.
 * Thread-safe.
 */
public final class EngineConnections implements EngineTransport {

    private static final long NS_PER_MS = 1_000_000L;
    private static final long NS_PER_S = 1_000_000_000L;

    private final RouterConfig config;

    /** Guarded by this. */
    private final EndpointRegistry registry;

    private final CoreClock clock;
    private final Executor workers;
    private final LoadReportReader loadReports;
    private final WireLimits limits;
    private final EngineHealthChecker healthChecker;
    private final Map<String, NativeConnectionPool> pools = new ConcurrentHashMap<>();
    private final Map<String, EndpointState> states = new ConcurrentHashMap<>();

    /**
     * States according to the endpoint list, without the drains that operators set. Guarded by
     * this.
     */
    private final Map<String, EndpointState> listedStates = new HashMap<>();

    /** Engines that operators drain. Guarded by this. */
    private Set<String> drainedEngines = Set.of();

    private volatile Consumer<EndpointsChanged> onChange = change -> {};

    /**
     * Creates an instance without endpoints; see {@link #start}.
     *
     * @param workers executor of health checks
     */
    public EngineConnections(
            RouterConfig config, CoreClock clock, Executor workers, WireLimits limits) {
        this.config = config;
        this.clock = clock;
        this.workers = workers;
        this.limits = limits;
        this.registry = new EndpointRegistry(config.policyLimits().slowStartNs());
        this.loadReports = new LoadReportReader(config.loadMetrics());
        this.healthChecker = new EngineHealthChecker(this, config, loadReports, limits);
    }

    /** Returns the reader of load reports. */
    public LoadReportReader loadReports() {
        return loadReports;
    }

    // Endpoints

    /**
     * Starts to report endpoints: first the cached endpoints, then the configured ones.
     *
     * @param listener receives all changes, in order
     * @param cached endpoints stored by the previous run; may be empty
     */
    public synchronized void start(Consumer<EndpointsChanged> listener, List<Endpoint> cached) {
        onChange = listener;
        if (!cached.isEmpty()) {
            cached.forEach(endpoint -> states.put(endpoint.engine(), endpoint.state()));
            listener.accept(new EndpointsChanged(EndpointListKind.CACHED, cached));
        }
        registry.configure(config.engines().values());
        registry.restore(cached);
        configure(config.engines().values());
    }

    /**
     * Replaces all endpoints; the connection pools of engines with an unchanged address are kept.
     */
    public synchronized void configure(Collection<EngineSpec> specs) {
        Map<String, NativeConnectionPool> previous = new HashMap<>(pools);
        pools.clear();
        states.clear();
        listedStates.clear();
        List<EngineSpec> effective = new ArrayList<>();
        for (EngineSpec spec : specs) {
            listedStates.put(spec.name(), spec.state());
            effective.add(
                    new EngineSpec(
                            spec.name(),
                            spec.address(),
                            spec.zone(),
                            spec.kind(),
                            spec.cell(),
                            effectiveState(spec.name())));
            NativeConnectionPool existing = previous.get(spec.name());
            boolean sameAddress = existing != null && existing.address().equals(spec.address());
            pools.put(spec.name(), sameAddress ? previous.remove(spec.name()) : newPool(spec));
            states.put(spec.name(), effectiveState(spec.name()));
        }
        previous.values().forEach(NativeConnectionPool::close);
        onChange.accept(registry.configure(effective));
    }

    private NativeConnectionPool newPool(EngineSpec spec) {
        RouterConfig.ResourceLimits resourceLimits = config.resourceLimits();
        return new NativeConnectionPool(
                spec.name(),
                spec.address(),
                config.name(),
                config.engineLogin(),
                resourceLimits.maxConnectionsPerEngine(),
                (int) Math.max(1, resourceLimits.connectTimeoutNs() / NS_PER_MS),
                resourceLimits.engineIdleTimeoutNs(),
                limits);
    }

    /** Sets the state of an engine in the endpoint list. */
    public synchronized void setState(String engine, EndpointState state) {
        listedStates.put(engine, state);
        publishState(engine);
    }

    /** Sets the engines that operators drain, regardless of their state in the endpoint list. */
    public synchronized void setDrained(Set<String> engines) {
        Set<String> changed = new TreeSet<>(engines);
        changed.addAll(drainedEngines);
        changed.removeIf(engine -> engines.contains(engine) == drainedEngines.contains(engine));
        drainedEngines = Set.copyOf(engines);
        changed.forEach(this::publishState);
    }

    /**
     * Returns the effective state of an engine: draining if an operator drains it, otherwise its
     * state in the endpoint list.
     */
    private EndpointState effectiveState(String engine) {
        return drainedEngines.contains(engine)
                ? EndpointState.DRAINING
                : listedStates.getOrDefault(engine, EndpointState.READY);
    }

    private void publishState(String engine) {
        if (pools.containsKey(engine)) {
            states.put(engine, effectiveState(engine));
            registry.setState(engine, effectiveState(engine)).ifPresent(onChange);
        }
    }

    /** Returns the current endpoints. */
    public synchronized List<Endpoint> endpoints() {
        return registry.endpoints();
    }

    /**
     * Returns whether an engine accepts new queries; checked immediately before the first byte is
     * sent.
     */
    public boolean isReady(String engine) {
        return states.get(engine) == EndpointState.READY;
    }

    private synchronized void recordConnect(String engine, boolean connected) {
        if (connected) {
            registry.recordConnection(engine, clock.nowNs()).ifPresent(onChange);
        } else {
            registry.recordConnectFailure(engine);
        }
    }

    /**
     * Records an uptime that an engine reported; the registry detects restarts from uptimes.
     *
     * @param uptimeS uptime in seconds; negative if unknown
     */
    synchronized void recordUptime(String engine, double uptimeS) {
        if (uptimeS >= 0) {
            registry.recordUptime(engine, (long) (uptimeS * NS_PER_S), clock.nowNs())
                    .ifPresent(onChange);
        }
    }

    // Connections

    /**
     * Acquires a connection to an engine with the given default database.
     *
     * @throws NativeConnectionPool.ExhaustedException if all connections are in use
     * @throws IOException if the engine is unknown or the connection cannot be established
     */
    public NativeEngineConnection acquire(String engine, String database) throws IOException {
        NativeConnectionPool pool = pools.get(engine);
        if (pool == null) {
            throw new IOException("unknown engine " + engine + ": not in the endpoint list");
        }
        try {
            NativeEngineConnection connection = pool.acquire(database);
            recordConnect(engine, true);
            return connection;
        } catch (NativeConnectionPool.ExhaustedException e) {
            throw e;
        } catch (IOException e) {
            recordConnect(engine, false);
            throw e;
        }
    }

    /**
     * Returns a connection to its pool, or closes it.
     *
     * @param reusable whether the last statement on the connection has ended and no further bytes
     *     will arrive; otherwise the connection is closed
     */
    public void release(NativeEngineConnection connection, boolean reusable) {
        if (reusable) {
            connection.pool().release(connection, clock.nowNs());
        } else {
            connection.pool().discard(connection);
        }
    }

    /** Closes connections that exceed the idle timeout. */
    public void closeIdle() {
        pools.values().forEach(pool -> pool.closeIdle(clock.nowNs()));
    }

    /** Closes all idle connections; those in use are closed when they are returned. */
    public void close() {
        pools.values().forEach(NativeConnectionPool::close);
    }

    // Health checks

    @Override
    public void checkHealth(String engine, HealthCheckListener listener) {
        try {
            workers.execute(() -> healthChecker.check(engine, listener));
        } catch (RejectedExecutionException e) {
            listener.onHealthCheckCompleted(Outcome.NOT_SENT, LoadReport.NONE);
        }
    }
}
