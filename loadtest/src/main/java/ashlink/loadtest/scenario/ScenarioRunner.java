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
        for (EngineConfig c : day.engines().values()) {
            EmulatedEngine e = new EmulatedEngine(c);
            e.start();
            engines.put(c.name(), e);
        }
        int position = 0;
        for (RouterSpec r : day.routers()) {
            startRouter(r, position++, 0);
        }
        long from = System.nanoTime();
        day.troubles().forEach(this::schedule);
        List<ClientAttempt> tries =
                new LoadRun(day, addresses::get, httpAddresses::get, conditions).run();
        script.shutdownNow();
        script.awaitTermination(5, TimeUnit.SECONDS);
        for (Router r : routers.values()) {
            r.kill();
        }
        List<String> fallen =
                engines.values().stream()
                        .filter(EmulatedEngine::hasFallen)
                        .map(e -> e.config().name())
                        .toList();
        List<SentQuery> ledger = new ArrayList<>();
        for (EmulatedEngine e : engines.values()) {
            e.crash();
            e.ledger().entries().forEach(x -> ledger.add(SentQuery.of(x)));
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

    private RouterConfig settings(RouterSpec r, int position, int port) {
        return TestSettings.of(
                r.name(),
                r.zone(),
                position,
                day.routers().size(),
                day.seed() * 1000 + position,
                port,
                engines.values(),
                day.settings().replace("{router}", r.name()) + http(r.name()));
    }

    private String http(String router) {
        InetSocketAddress before = httpAddresses.get(router);
        return day.httpShare() == 0
                ? ""
                : "(http (listen 127.0.0.1:" + (before == null ? 0 : before.getPort()) + "))";
    }

    private void startRouter(RouterSpec spec, int position, int port) throws IOException {
        Router r = new Router(settings(spec, position, port), module);
        r.start();
        routers.put(spec.name(), r);
        addresses.put(spec.name(), r.address());
        if (r.httpAddress() != null) {
            httpAddresses.put(spec.name(), r.httpAddress());
        }
        synchronized (this) {
            long now = System.nanoTime();
            for (Drain d : List.copyOf(drains)) {
                if (d.untilNs() > now && !d.router().equals(spec.name())) {
                    tellDrain(spec.name(), d.engine(), d.untilNs());
                }
            }
        }
    }

    // ---- Troubles
    private void schedule(Fault t) {
        at(t.atNs(), () -> begin(t));
        at(t.atNs() + t.forNs(), () -> end(t));
        if (t.kind() == ScenarioConfig.FaultKind.AGE) {
            for (long d = AGE_STEP_NS; d < t.forNs(); d += AGE_STEP_NS) {
                double speed = 1 + (t.factor() - 1) * d / t.forNs();
                at(t.atNs() + d, () -> engines.get(t.target()).speed(speed));
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

    private synchronized void begin(Fault t) throws InterruptedException {
        long now = System.nanoTime();
        EmulatedEngine e = engines.get(t.target());
        LOG.info("trouble begins: {} {}", t.kind(), t.target());
        switch (t.kind()) {
            case HANG -> e.hang(true);
            case SLOW -> e.speed(t.factor());
            case AGE, REFUSE -> {}
            case LOST_ANSWERS -> e.faults().loseAnswers(t.factor());
            case CRASH -> crash(t.target(), now + t.forNs());
            case HALL_LOST ->
                    engines.values().stream()
                            .filter(x -> x.config().zone().equals(t.target()))
                            .forEach(x -> crash(x.config().name(), now + t.forNs()));
            case DRAIN ->
                    routers.keySet()
                            .forEach(
                                    r ->
                                            script.schedule(
                                                    () -> tellDrain(r, t.target(), now + t.forNs()),
                                                    listLagNs,
                                                    TimeUnit.NANOSECONDS));
            case LIST_LATE -> listLagNs = (long) (t.factor() * 1e9);
            case ROUTER_KILL -> {
                kills.add(new Span(t.target(), now, now + t.forNs()));
                routers.get(t.target()).kill();
            }
            case BURST -> conditions.rate(t.factor());
            case HEAVY_TAIL -> conditions.heavy(t.target(), t.factor());
            case HOT_GROUP -> conditions.hotGroup(t.factor());
            case HOT_CALLER -> conditions.hotRouter(t.target(), t.factor());
        }
        if (t.kind() == ScenarioConfig.FaultKind.REFUSE) {
            e.faults()
                    .breakAt(
                            ashlink.emulator.FaultInjection.Place.ACCEPT,
                            ashlink.emulator.FaultInjection.Break.CLOSE,
                            Integer.MAX_VALUE);
        }
        if (e != null) {
            sick.add(new Span(t.target(), now, now + t.forNs()));
        }
    }

    private synchronized void end(Fault t) throws IOException {
        EmulatedEngine e = engines.get(t.target());
        LOG.info("trouble ends: {} {}", t.kind(), t.target());
        switch (t.kind()) {
            case HANG -> e.hang(false);
            case SLOW, AGE -> e.speed(1);
            case LOST_ANSWERS, REFUSE -> e.faults().heal();
            case CRASH -> restart(t.target());
            case HALL_LOST -> {
                for (EmulatedEngine x : engines.values()) {
                    if (x.config().zone().equals(t.target())) {
                        restart(x.config().name());
                    }
                }
            }
            case DRAIN ->
                    script.schedule(
                            () ->
                                    routers.forEach(
                                            (name, r) -> r.phase(t.target(), EndpointState.READY)),
                            listLagNs,
                            TimeUnit.NANOSECONDS);
            case LIST_LATE -> listLagNs = 0;
            case ROUTER_KILL -> restartRouter(t.target());
            case BURST -> conditions.rate(1);
            case HEAVY_TAIL -> conditions.heavy("", 1);
            case HOT_GROUP -> conditions.hotGroup(0);
            case HOT_CALLER -> conditions.hotRouter("", 0);
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
        routers.get(router).phase(engine, EndpointState.DRAINING);
        drains.add(new Drain(router, engine, System.nanoTime(), until));
    }
}
