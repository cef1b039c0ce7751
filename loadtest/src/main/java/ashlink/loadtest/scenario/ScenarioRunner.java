package ashlink.loadtest.scenario;

import ashlink.config.EngineConfig;
import ashlink.config.RouterConfig;
import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfig.Fault;
import ashlink.config.ScenarioConfig.RouterSpec;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import ashlink.emulator.EmulatedEngine;
import ashlink.emulator.FaultInjection;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.load.LoadConditions;
import ashlink.loadtest.load.LoadRun;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import ashlink.loadtest.scenario.ScenarioFacts.Interval;
import ashlink.router.Router;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a scenario with engines and routers in this process, on loopback. A router is stopped
 * without a shutdown and started again to emulate the crash of its process.
 */
public final class ScenarioRunner {

    private static final Logger LOG = LoggerFactory.getLogger(ScenarioRunner.class);

    /** Interval at which the speed of a degrading engine is lowered. */
    private static final long DEGRADATION_STEP_NS = 200_000_000L;

    private final ScenarioConfig scenario;
    private final Function<Settings, WorkloadManager> workloadManagerFactory;
    private final Map<String, EmulatedEngine> engines = new LinkedHashMap<>();
    private final Map<String, Router> routers = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> httpAddresses = new ConcurrentHashMap<>();
    private final List<Drain> drains = new ArrayList<>();
    private final List<Interval> routerOutages = new ArrayList<>();
    private final EngineOutages engineOutages = new EngineOutages(engines);
    private final List<Interval> engineFaults = new ArrayList<>();
    private final ScheduledExecutorService scheduler =
            Executors.newScheduledThreadPool(
                    2,
                    task -> {
                        Thread thread = new Thread(task, "script");
                        thread.setDaemon(true);
                        return thread;
                    });
    private volatile long endpointUpdateDelayNs;
    private final LoadConditions conditions = new LoadConditions();

    /** Creates a runner whose routers use workload managers of the given factory. */
    public ScenarioRunner(
            ScenarioConfig scenario, Function<Settings, WorkloadManager> workloadManagerFactory) {
        this.scenario = scenario;
        this.workloadManagerFactory = workloadManagerFactory;
    }

    /** Runs the scenario to its end and returns the records. */
    public ScenarioFacts run() throws IOException, InterruptedException {
        for (EngineConfig engineConfig : scenario.engines().values()) {
            EmulatedEngine engine = new EmulatedEngine(engineConfig);
            engine.start();
            engines.put(engineConfig.name(), engine);
        }
        int routerIndex = 0;
        for (RouterSpec routerSpec : scenario.routers()) {
            startRouter(routerSpec, routerIndex++, 0);
        }
        long startNs = System.nanoTime();
        scenario.faults().forEach(this::schedule);
        List<ClientAttempt> clientAttempts =
                new LoadRun(scenario, addresses::get, httpAddresses::get, conditions).run();
        scheduler.shutdownNow();
        scheduler.awaitTermination(5, TimeUnit.SECONDS);
        for (Router router : routers.values()) {
            router.kill();
        }
        List<String> overloadedEngines = overloadedEngines();
        List<EngineQuery> engineQueries = stopEngines();
        synchronized (this) {
            return new ScenarioFacts(
                    scenario,
                    routerConfig(scenario.routers().get(0), 0, 0),
                    startNs,
                    clientAttempts,
                    engineQueries,
                    List.copyOf(drains),
                    List.copyOf(routerOutages),
                    engineOutages.intervals(),
                    List.copyOf(engineFaults),
                    overloadedEngines);
        }
    }

    private List<String> overloadedEngines() {
        return engines.values().stream()
                .filter(EmulatedEngine::hasCollapsed)
                .map(engine -> engine.config().name())
                .toList();
    }

    /** Stops the engines and returns the queries that they received. */
    private List<EngineQuery> stopEngines() {
        List<EngineQuery> engineQueries = new ArrayList<>();
        for (EmulatedEngine engine : engines.values()) {
            engine.crash();
            engine.ledger().entries().forEach(entry -> engineQueries.add(EngineQuery.of(entry)));
        }
        return engineQueries;
    }

    private RouterConfig routerConfig(RouterSpec routerSpec, int routerIndex, int port) {
        return TestSettings.of(
                routerSpec.name(),
                routerSpec.zone(),
                routerIndex,
                scenario.routers().size(),
                scenario.seed() * 1000 + routerIndex,
                port,
                engines.values(),
                scenario.settings().replace("{router}", routerSpec.name())
                        + httpSettings(routerSpec.name()));
    }

    private String httpSettings(String router) {
        InetSocketAddress previous = httpAddresses.get(router);
        return scenario.httpFraction() == 0
                ? ""
                : "(http (listen 127.0.0.1:" + (previous == null ? 0 : previous.getPort()) + "))";
    }

    private void startRouter(RouterSpec spec, int routerIndex, int port) throws IOException {
        Router router = new Router(routerConfig(spec, routerIndex, port), workloadManagerFactory);
        router.start();
        routers.put(spec.name(), router);
        addresses.put(spec.name(), router.address());
        if (router.httpAddress() != null) {
            httpAddresses.put(spec.name(), router.httpAddress());
        }
        synchronized (this) {
            long nowNs = System.nanoTime();
            for (Drain drain : List.copyOf(drains)) {
                if (drain.endNs() > nowNs && !drain.router().equals(spec.name())) {
                    announceDrain(spec.name(), drain.engine(), drain.endNs());
                }
            }
        }
    }

    // ---- Fault injection
    private void schedule(Fault fault) {
        scheduleAt(fault.startNs(), () -> startFault(fault));
        scheduleAt(fault.startNs() + fault.durationNs(), () -> endFault(fault));
        if (fault.kind() == ScenarioConfig.FaultKind.DEGRADATION) {
            for (long elapsedNs = DEGRADATION_STEP_NS;
                    elapsedNs < fault.durationNs();
                    elapsedNs += DEGRADATION_STEP_NS) {
                double speed = 1 + (fault.factor() - 1) * elapsedNs / fault.durationNs();
                scheduleAt(
                        fault.startNs() + elapsedNs,
                        () -> engines.get(fault.target()).speed(speed));
            }
        }
    }

    private interface FaultAction {
        void run() throws Exception;
    }

    private void scheduleAt(long offsetNs, FaultAction action) {
        scheduler.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (Exception e) {
                        LOG.error("scenario action failed offsetMs={}", offsetNs / 1_000_000, e);
                    }
                },
                offsetNs,
                TimeUnit.NANOSECONDS);
    }

    private synchronized void startFault(Fault fault) throws InterruptedException {
        long nowNs = System.nanoTime();
        EmulatedEngine engine = engines.get(fault.target());
        LOG.info("fault started kind={} target={}", fault.kind(), fault.target());
        switch (fault.kind()) {
            case HANG -> engine.hang(true);
            case SLOW -> engine.speed(fault.factor());
            case DEGRADATION, CONNECTION_REFUSED -> {}
            case LOST_RESPONSES -> engine.faults().loseAnswers(fault.factor());
            case CRASH -> engineOutages.start(fault.target(), nowNs + fault.durationNs());
            case ZONE_OUTAGE -> crashZone(fault.target(), nowNs + fault.durationNs());
            case DRAIN -> scheduleDrain(fault.target(), nowNs + fault.durationNs());
            case ENDPOINT_UPDATE_DELAY -> endpointUpdateDelayNs = (long) (fault.factor() * 1e9);
            case ROUTER_CRASH -> {
                routerOutages.add(new Interval(fault.target(), nowNs, nowNs + fault.durationNs()));
                routers.get(fault.target()).kill();
            }
            case BURST -> conditions.setRateFactor(fault.factor());
            case HEAVY_TAIL -> conditions.setWorkFactor(fault.target(), fault.factor());
            case HOT_TABLE_GROUP -> conditions.setHotTableGroup(fault.factor());
            case HOT_ROUTER -> conditions.setHotRouter(fault.target(), fault.factor());
            default -> throw new IllegalArgumentException("unsupported fault kind " + fault.kind());
        }
        if (fault.kind() == ScenarioConfig.FaultKind.CONNECTION_REFUSED) {
            refuseConnections(engine);
        }
        if (engine != null) {
            engineFaults.add(new Interval(fault.target(), nowNs, nowNs + fault.durationNs()));
        }
    }

    private void crashZone(String zone, long endNs) {
        engines.values().stream()
                .filter(engine -> engine.config().zone().equals(zone))
                .forEach(engine -> engineOutages.start(engine.config().name(), endNs));
    }

    private void scheduleDrain(String engine, long endNs) {
        routers.keySet()
                .forEach(
                        router ->
                                scheduler.schedule(
                                        () -> announceDrain(router, engine, endNs),
                                        endpointUpdateDelayNs,
                                        TimeUnit.NANOSECONDS));
    }

    private static void refuseConnections(EmulatedEngine engine) {
        engine.faults()
                .breakAt(
                        FaultInjection.Place.ACCEPT, FaultInjection.Break.CLOSE, Integer.MAX_VALUE);
    }

    private synchronized void endFault(Fault fault) throws IOException {
        EmulatedEngine engine = engines.get(fault.target());
        LOG.info("fault ended kind={} target={}", fault.kind(), fault.target());
        switch (fault.kind()) {
            case HANG -> engine.hang(false);
            case SLOW, DEGRADATION -> engine.speed(1);
            case LOST_RESPONSES, CONNECTION_REFUSED -> engine.faults().heal();
            case CRASH -> engineOutages.end(fault.target());
            case ZONE_OUTAGE -> {
                for (EmulatedEngine zoneEngine : engines.values()) {
                    if (zoneEngine.config().zone().equals(fault.target())) {
                        engineOutages.end(zoneEngine.config().name());
                    }
                }
            }
            case DRAIN ->
                    scheduler.schedule(
                            () ->
                                    routers.forEach(
                                            (name, router) ->
                                                    router.setEngineState(
                                                            fault.target(), EndpointState.READY)),
                            endpointUpdateDelayNs,
                            TimeUnit.NANOSECONDS);
            case ENDPOINT_UPDATE_DELAY -> endpointUpdateDelayNs = 0;
            case ROUTER_CRASH -> restartRouter(fault.target());
            case BURST -> conditions.setRateFactor(1);
            case HEAVY_TAIL -> conditions.setWorkFactor("", 1);
            case HOT_TABLE_GROUP -> conditions.setHotTableGroup(0);
            case HOT_ROUTER -> conditions.setHotRouter("", 0);
            default -> throw new IllegalArgumentException("unsupported fault kind " + fault.kind());
        }
    }

    private void restartRouter(String name) throws IOException {
        for (int i = 0; i < scenario.routers().size(); i++) {
            if (scenario.routers().get(i).name().equals(name)) {
                startRouter(scenario.routers().get(i), i, addresses.get(name).getPort());
            }
        }
    }

    private synchronized void announceDrain(String router, String engine, long endNs) {
        routers.get(router).setEngineState(engine, EndpointState.DRAINING);
        drains.add(new Drain(router, engine, System.nanoTime(), endNs));
    }
}
