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
import ashlink.wire.Block;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.QueryPacket;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The engines that the list names: their pools, their probes, and what the roster makes of how they
 * fare. News go to the core in the order in which the roster gave them.
 */
public final class EngineConnections implements EngineTransport {

    private static final Logger LOG = LoggerFactory.getLogger(EngineConnections.class);
    private static final int MOST_PROBE_ROWS = 10_000;
    private static final long S = 1_000_000_000L;

    private final RouterConfig config;
    private final EndpointRegistry roster;
    private final CoreClock clock;
    private final Executor workers;
    private final LoadReportReader gauges;
    private final WireLimits limits;
    private final String probeStatement;
    private final Map<String, NativeConnectionPool> pools = new ConcurrentHashMap<>();
    private final Map<String, EndpointState> phases = new ConcurrentHashMap<>();

    /** What the list says, without what operators want. */
    private final Map<String, EndpointState> listed = new HashMap<>();

    private Set<String> drained = Set.of();
    private volatile Consumer<EndpointsChanged> news = n -> {};

    /** Reaches engines with threads of {@code workers}. */
    public EngineConnections(
            RouterConfig config, CoreClock clock, Executor workers, WireLimits limits) {
        this.config = config;
        this.clock = clock;
        this.workers = workers;
        this.limits = limits;
        this.roster = new EndpointRegistry(config.limits().slowStartNs());
        this.gauges = new LoadReportReader(config.gauges());
        String uptime =
                config.gauges().uptimeS().stream()
                        .map(RouterConfig.Gauge::name)
                        .findFirst()
                        .orElse("");
        this.probeStatement =
                "SELECT metric, toFloat64(value) AS value FROM system.metrics"
                        + (uptime.isEmpty()
                                ? ""
                                : " UNION ALL SELECT '"
                                        + uptime.replace("'", "")
                                        + "', toFloat64(uptime())");
    }

    /** Reads what answers tell. */
    public LoadReportReader gauges() {
        return gauges;
    }

    // ---- The list
    /**
     * Where news of the list go; what was known before is told as remembered, then as it is
     * configured.
     */
    public synchronized void start(Consumer<EndpointsChanged> to, List<Endpoint> kept) {
        news = to;
        if (!kept.isEmpty()) {
            kept.forEach(endpoint -> phases.put(endpoint.engine(), endpoint.state()));
            to.accept(new EndpointsChanged(EndpointListKind.CACHED, kept));
        }
        roster.configure(config.engines().values());
        roster.remember(kept);
        configure(config.engines().values());
    }

    /** The whole list is now this one. */
    public synchronized void configure(Collection<EngineSpec> specs) {
        Map<String, NativeConnectionPool> before = new HashMap<>(pools);
        pools.clear();
        phases.clear();
        listed.clear();
        List<EngineSpec> effective = new ArrayList<>();
        for (EngineSpec engineSpec : specs) {
            listed.put(engineSpec.name(), engineSpec.phase());
            effective.add(
                    new EngineSpec(
                            engineSpec.name(),
                            engineSpec.address(),
                            engineSpec.zone(),
                            engineSpec.kind(),
                            engineSpec.cell(),
                            phase(engineSpec.name())));
            NativeConnectionPool old = before.get(engineSpec.name());
            boolean same = old != null && old.address().equals(engineSpec.address());
            pools.put(
                    engineSpec.name(), same ? before.remove(engineSpec.name()) : pool(engineSpec));
            phases.put(engineSpec.name(), phase(engineSpec.name()));
        }
        before.values().forEach(NativeConnectionPool::close);
        news.accept(roster.configure(effective));
    }

    private NativeConnectionPool pool(EngineSpec engineSpec) {
        RouterConfig.Bounds bounds = config.bounds();
        return new NativeConnectionPool(
                engineSpec.name(),
                engineSpec.address(),
                config.name(),
                config.engineLogin(),
                bounds.engineConnections(),
                (int) Math.max(1, bounds.connectNs() / 1_000_000),
                bounds.idleEngineNs(),
                limits);
    }

    /** The list says that of an engine. */
    public synchronized void phase(String engine, EndpointState phase) {
        listed.put(engine, phase);
        tell(engine);
    }

    /** Operators want these engines to get no fresh work: that holds whatever the list says. */
    public synchronized void drained(Set<String> engines) {
        Set<String> changed = new TreeSet<>(engines);
        changed.addAll(drained);
        changed.removeIf(text -> engines.contains(text) == drained.contains(text));
        drained = Set.copyOf(engines);
        changed.forEach(this::tell);
    }

    /** A drain from anywhere holds. */
    private EndpointState phase(String engine) {
        return drained.contains(engine)
                ? EndpointState.DRAINING
                : listed.getOrDefault(engine, EndpointState.READY);
    }

    private void tell(String engine) {
        if (pools.containsKey(engine)) {
            phases.put(engine, phase(engine));
            roster.phase(engine, phase(engine)).ifPresent(news);
        }
    }

    /** The list in hand. */
    public synchronized List<Endpoint> entries() {
        return roster.entries();
    }

    /** True while the list says that new work may go there; asked just before the first byte. */
    public boolean isReady(String engine) {
        return phases.get(engine) == EndpointState.READY;
    }

    private synchronized void believe(String engine, boolean reached) {
        if (reached) {
            roster.connected(engine, clock.nowNs()).ifPresent(news);
        } else {
            roster.unreachable(engine);
        }
    }

    private synchronized void believeUptime(String engine, double upS) {
        if (upS >= 0) {
            roster.uptime(engine, (long) (upS * S), clock.nowNs()).ifPresent(news);
        }
    }

    // ---- Connections
    /**
     * A connection to that engine for that database; an exception where it cannot be reached or
     * none is free.
     */
    public NativeEngineConnection take(String engine, String database) throws IOException {
        NativeConnectionPool pool = pools.get(engine);
        if (pool == null) {
            throw new IOException("engine " + engine + " is not on the list");
        }
        try {
            NativeEngineConnection connection = pool.take(database);
            believe(engine, true);
            return connection;
        } catch (NativeConnectionPool.Full e) {
            throw e;
        } catch (IOException e) {
            believe(engine, false);
            throw e;
        }
    }

    /**
     * Takes back a connection; {@code clean} only where its last statement ended and nothing else
     * is due.
     */
    public void giveBack(NativeEngineConnection connection, boolean clean) {
        if (clean) {
            connection.pool().giveBack(connection, clock.nowNs());
        } else {
            connection.pool().discard(connection);
        }
    }

    /** Closes connections that have been idle for too long. */
    public void closeIdle() {
        pools.values().forEach(pool -> pool.closeIdle(clock.nowNs()));
    }

    /** Closes all that is idle. */
    public void close() {
        pools.values().forEach(NativeConnectionPool::close);
    }

    // ---- Probes
    @Override
    public void checkHealth(String engine, HealthCheckListener back) {
        try {
            workers.execute(() -> probeNow(engine, back));
        } catch (RejectedExecutionException e) {
            back.onHealthCheckCompleted(Outcome.NOT_SENT, LoadReport.NONE);
        }
    }

    private void probeNow(String engine, HealthCheckListener back) {
        Outcome outcome = Outcome.CONNECT_FAILED;
        LoadReport report = LoadReport.NONE;
        NativeEngineConnection connection = null;
        boolean clean = false;
        try {
            connection = take(engine, "");
            outcome = Outcome.RESET;
            Map<String, Double> values = ask(connection);
            clean = values != null;
            outcome = clean ? Outcome.SERVED : Outcome.ERROR;
            if (clean) {
                report = gauges.report(values);
                believeUptime(engine, gauges.uptimeS(values));
            }
        } catch (NativeConnectionPool.Full e) {
            outcome = Outcome.NOT_SENT;
        } catch (java.net.SocketTimeoutException e) {
            outcome = connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        } catch (IOException e) {
            LOG.debug("probe of engine {} failed: {}", engine, e.toString());
        } finally {
            if (connection != null) {
                giveBack(connection, clean);
            }
            back.onHealthCheckCompleted(outcome, report);
        }
    }

    /** Runs the probe's statement; null where the engine answers with an error. */
    private Map<String, Double> ask(NativeEngineConnection connection) throws IOException {
        ByteBuf out = new ByteBuf();
        new QueryPacket("", ClientInfo.NONE, List.of(), QueryPacket.COMPLETE, false, probeStatement)
                .write(connection.revision(), out);
        out.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
        Block.END.write(null, out);
        connection.timeout(2 * (int) Math.max(1, config.bounds().connectNs() / 1_000_000));
        connection.write(out);
        Map<String, Double> values = new HashMap<>();
        while (true) {
            ServerPacket serverPacket = ServerPacket.of(connection.in().readVarUInt());
            if (serverPacket == ServerPacket.EXCEPTION) {
                ServerError.read(connection.in(), limits);
                return null;
            } else if (serverPacket == ServerPacket.END_OF_STREAM) {
                connection.timeout(0);
                return values;
            } else if (serverPacket.hasBlock()) {
                connection.in().readString("table", limits.nameBytes());
                Block block = connection.blocks().read(false, MOST_PROBE_ROWS);
                if (serverPacket == ServerPacket.DATA) {
                    values.putAll(LoadReportReader.values(block));
                }
            } else {
                connection.skipPlain(serverPacket);
            }
        }
    }
}
