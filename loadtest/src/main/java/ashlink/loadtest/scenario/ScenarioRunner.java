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
import ashlink.loadtest.fixture.TestSettings;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.load.LoadConditions;
import ashlink.loadtest.load.LoadRun;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import ashlink.loadtest.scenario.ScenarioFacts.Span;
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
 * Plays a day: engines and routers in this process, on loopback; each router is killed and started
 * like a process.
 */
public final class ScenarioRunner {

    private static final Logger LOG = LoggerFactory.getLogger(ScenarioRunner.class);
    private static final long AGE_STEP_NS = 200_000_000L;

    private final ScenarioConfig day;
    private final Function<Settings, WorkloadManager> module;
    private final Map<String, EmulatedEngine> engines = new LinkedHashMap<>();
    private final Map<String, Router> routers = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> httpAddresses = new ConcurrentHashMap<>();
    private final List<Drain> drains = new ArrayList<>();
    private final List<Span> kills = new ArrayList<>();
    private final List<Span> downs = new ArrayList<>();
    private final List<Span> sick = new ArrayList<>();
    private final Map<String, Integer> downCount = new LinkedHashMap<>();
    private final ScheduledExecutorService script =
            Executors.newScheduledThreadPool(
                    2,
                    r -> {
                        Thread t = new Thread(r, "script");
                        t.setDaemon(true);
                        return t;
                    });
    private volatile long listLagNs;
    private final LoadConditions conditions = new LoadConditions();

    /** A day whose routers decide by that module. */
    public ScenarioRunner(ScenarioConfig day, Function<Settings, WorkloadManager> module) {
        this.day = day;
        this.module = module;
    }

    /** Plays it to its end. */
    public ScenarioFacts run() throws IOException, InterruptedException {
        for (EngineConfig engineConfig : day.engines().values()) {
            EmulatedEngine emulatedEngine = new EmulatedEngine(engineConfig);
            emulatedEngine.start();
            engines.put(engineConfig.name(), emulatedEngine);
        }
        int position = 0;
        for (RouterSpec routerSpec : day.routers()) {
            startRouter(routerSpec, position++, 0);
        }
        long from = System.nanoTime();
        day.faults().forEach(this::schedule);
        List<ClientAttempt> tries =
                new LoadRun(day, addresses::get, httpAddresses::get, conditions).run();
        script.shutdownNow();
        script.awaitTermination(5, TimeUnit.SECONDS);
        for (Router router : routers.values()) {
            router.kill();
        }
        List<String> fallen =
                engines.values().stream()
                        .filter(EmulatedEngine::hasCollapsed)
                        .map(emulatedEngine -> emulatedEngine.config().name())
                        .toList();
        List<SentQuery> ledger = new ArrayList<>();
        for (EmulatedEngine emulatedEngine : engines.values()) {
            emulatedEngine.crash();
            emulatedEngine.ledger().entries().forEach(entry -> ledger.add(SentQuery.of(entry)));
        }
        synchronized (this) {
            return new ScenarioFacts(
                    day,
                    settings(day.routers().get(0), 0, 0),
                    from,
                    tries,
                    ledger,
                    List.copyOf(drains),
                    List.copyOf(kills),
                    List.copyOf(downs),
                    List.copyOf(sick),
                    fallen);
        }
    }

    private RouterConfig settings(RouterSpec routerSpec, int position, int port) {
        return TestSettings.of(
                routerSpec.name(),
                routerSpec.zone(),
                position,
                day.routers().size(),
                day.seed() * 1000 + position,
                port,
                engines.values(),
                day.settings().replace("{router}", routerSpec.name()) + http(routerSpec.name()));
    }

    private String http(String router) {
        InetSocketAddress before = httpAddresses.get(router);
        return day.httpFraction() == 0
                ? ""
                : "(http (listen 127.0.0.1:" + (before == null ? 0 : before.getPort()) + "))";
    }

    private void startRouter(RouterSpec spec, int position, int port) throws IOException {
        Router router = new Router(settings(spec, position, port), module);
        router.start();
        routers.put(spec.name(), router);
        addresses.put(spec.name(), router.address());
        if (router.httpAddress() != null) {
            httpAddresses.put(spec.name(), router.httpAddress());
        }
        synchronized (this) {
            long now = System.nanoTime();
            for (Drain drain : List.copyOf(drains)) {
                if (drain.untilNs() > now && !drain.router().equals(spec.name())) {
                    tellDrain(spec.name(), drain.engine(), drain.untilNs());
                }
            }
        }
    }

    // ---- Troubles
    private void schedule(Fault fault) {
        at(fault.startNs(), () -> begin(fault));
        at(fault.startNs() + fault.durationNs(), () -> end(fault));
        if (fault.kind() == ScenarioConfig.FaultKind.DEGRADATION) {
            for (long d = AGE_STEP_NS; d < fault.durationNs(); d += AGE_STEP_NS) {
                double speed = 1 + (fault.factor() - 1) * d / fault.durationNs();
                at(fault.startNs() + d, () -> engines.get(fault.target()).speed(speed));
            }
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private void at(long ns, Step step) {
        script.schedule(
                () -> {
                    try {
                        step.run();
                    } catch (Exception e) {
                        LOG.error("the script's step at {} ms failed", ns / 1_000_000, e);
                    }
                },
                ns,
                TimeUnit.NANOSECONDS);
    }

    private synchronized void begin(Fault fault) throws InterruptedException {
        long now = System.nanoTime();
        EmulatedEngine e = engines.get(fault.target());
        LOG.info("trouble begins: {} {}", fault.kind(), fault.target());
        switch (fault.kind()) {
            case HANG -> e.hang(true);
            case SLOW -> e.speed(fault.factor());
            case DEGRADATION, CONNECTION_REFUSED -> {}
            case LOST_RESPONSES -> e.faults().loseAnswers(fault.factor());
            case CRASH -> crash(fault.target(), now + fault.durationNs());
            case ZONE_OUTAGE ->
                    engines.values().stream()
                            .filter(x -> x.config().zone().equals(fault.target()))
                            .forEach(x -> crash(x.config().name(), now + fault.durationNs()));
            case DRAIN ->
                    routers.keySet()
                            .forEach(
                                    text ->
                                            script.schedule(
                                                    () ->
                                                            tellDrain(
                                                                    text,
                                                                    fault.target(),
                                                                    now + fault.durationNs()),
                                                    listLagNs,
                                                    TimeUnit.NANOSECONDS));
            case ENDPOINT_UPDATE_DELAY -> listLagNs = (long) (fault.factor() * 1e9);
            case ROUTER_CRASH -> {
                kills.add(new Span(fault.target(), now, now + fault.durationNs()));
                routers.get(fault.target()).kill();
            }
            case BURST -> conditions.rate(fault.factor());
            case HEAVY_TAIL -> conditions.heavy(fault.target(), fault.factor());
            case HOT_TABLE_GROUP -> conditions.hotGroup(fault.factor());
            case HOT_ROUTER -> conditions.hotRouter(fault.target(), fault.factor());
        }
        if (fault.kind() == ScenarioConfig.FaultKind.CONNECTION_REFUSED) {
            e.faults()
                    .breakAt(
                            ashlink.emulator.FaultInjection.Place.ACCEPT,
                            ashlink.emulator.FaultInjection.Break.CLOSE,
                            Integer.MAX_VALUE);
        }
        if (e != null) {
            sick.add(new Span(fault.target(), now, now + fault.durationNs()));
        }
    }

    private synchronized void end(Fault fault) throws IOException {
        EmulatedEngine e = engines.get(fault.target());
        LOG.info("trouble ends: {} {}", fault.kind(), fault.target());
        switch (fault.kind()) {
            case HANG -> e.hang(false);
            case SLOW, DEGRADATION -> e.speed(1);
            case LOST_RESPONSES, CONNECTION_REFUSED -> e.faults().heal();
            case CRASH -> restart(fault.target());
            case ZONE_OUTAGE -> {
                for (EmulatedEngine x : engines.values()) {
                    if (x.config().zone().equals(fault.target())) {
                        restart(x.config().name());
                    }
                }
            }
            case DRAIN ->
                    script.schedule(
                            () ->
                                    routers.forEach(
                                            (name, router) ->
                                                    router.setEngineState(
                                                            fault.target(), EndpointState.READY)),
                            listLagNs,
                            TimeUnit.NANOSECONDS);
            case ENDPOINT_UPDATE_DELAY -> listLagNs = 0;
            case ROUTER_CRASH -> restartRouter(fault.target());
            case BURST -> conditions.rate(1);
            case HEAVY_TAIL -> conditions.heavy("", 1);
            case HOT_TABLE_GROUP -> conditions.hotGroup(0);
            case HOT_ROUTER -> conditions.hotRouter("", 0);
        }
    }

    private void crash(String engine, long until) {
        if (downCount.merge(engine, 1, Integer::sum) == 1) {
            engines.get(engine).crash();
        }
        downs.add(new Span(engine, System.nanoTime(), until));
    }

    private void restart(String engine) throws IOException {
        if (downCount.merge(engine, -1, Integer::sum) == 0) {
            engines.get(engine).restart();
        }
    }

    private void restartRouter(String name) throws IOException {
        for (int i = 0; i < day.routers().size(); i++) {
            if (day.routers().get(i).name().equals(name)) {
                startRouter(day.routers().get(i), i, addresses.get(name).getPort());
            }
        }
    }

    private synchronized void tellDrain(String router, String engine, long until) {
        routers.get(router).setEngineState(engine, EndpointState.DRAINING);
        drains.add(new Drain(router, engine, System.nanoTime(), until));
    }
}
