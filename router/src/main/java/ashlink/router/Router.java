package ashlink.router;

import ashlink.background.Scheduler;
import ashlink.background.plan.Limits;
import ashlink.background.plan.Priority;
import ashlink.background.plan.TaskSpec;
import ashlink.config.RouterConfig;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import ashlink.router.classify.Classifier;
import ashlink.router.classify.StatementAnalyzer;
import ashlink.router.core.Core;
import ashlink.router.core.CoreClock;
import ashlink.router.core.PrometheusRequestMetrics;
import ashlink.router.discovery.EndpointListStore;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import ashlink.router.frontend.NativeListener;
import ashlink.router.frontend.UnsupportedStatementLog;
import ashlink.router.http.HttpListener;
import ashlink.router.upstream.EngineConnections;
import ashlink.wire.WireLimits;
import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router: its parts put together, started, reloaded and stopped. Several can live in one process
 * and share nothing.
 */
public final class Router {

    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final String LIST_FILE = "engines.list";
    private static final long KEEP_NS = 1_000_000_000L;
    private static final long LAST_RUNS_NS = 5 * KEEP_NS;

    /** Events that wait for decisions from which on background work has the least share. */
    private static final double PRESSED = 256;

    private static final long WORKER_IDLE_S = 10;

    private final CoreClock clock = new CoreClock();
    private final ThreadPoolExecutor workers;
    private final ScheduledThreadPoolExecutor timer;
    private final Core core;
    private final EngineConnections engines;
    private final NativeListener listener;
    private final Scheduler background;
    private final HttpListener http;
    private final EndpointListStore store;
    private final HTTPServer metrics;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final WorkloadManager gateway;
    private volatile RouterConfig config;
    private volatile Classifier classifier;
    private RouterCapture capture;
    private List<Endpoint> kept = List.of();

    /** A router that decides by {@link DefaultWorkloadManager}. */
    public Router(RouterConfig config) throws IOException {
        this(config, DefaultWorkloadManager::new);
    }

    /** A router that decides by another module: a baseline. */
    public Router(RouterConfig config, Function<Settings, WorkloadManager> module)
            throws IOException {
        this.config = config;
        this.classifier = new Classifier(config);
        RouterConfig.Bounds bounds = config.bounds();
        AtomicInteger number = new AtomicInteger();
        // Each open request needs one thread at most, and one more to write an answer while another
        // is blocked.
        workers =
                new ThreadPoolExecutor(
                        0,
                        2 * bounds.openRequests() + 64,
                        WORKER_IDLE_S,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        task -> {
                            Thread thread =
                                    new Thread(
                                            null,
                                            task,
                                            config.name() + "-worker-" + number.incrementAndGet(),
                                            bounds.stackBytes());
                            thread.setDaemon(true);
                            return thread;
                        });
        timer =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, config.name() + "-front-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        timer.setRemoveOnCancelPolicy(true);
        WireLimits wireLimits = WireLimits.DEFAULT;
        WireLimits limits =
                new WireLimits(
                        wireLimits.nameBytes(),
                        wireLimits.textBytes(),
                        wireLimits.settings(),
                        wireLimits.columns(),
                        bounds.packet(),
                        wireLimits.frameBytes());
        engines = new EngineConnections(config, clock, workers, limits);
        gateway = module.apply(config.settings());
        core =
                new Core(
                        config.name(),
                        gateway,
                        config.allClasses(),
                        engines,
                        clock,
                        bounds.queue(),
                        bounds.openRequests(),
                        new PrometheusRequestMetrics(registry));
        String boot = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        ListenerContext context =
                new ListenerContext(
                        () -> this.config,
                        core,
                        engines,
                        workers,
                        timer,
                        limits,
                        new MemoryQuota(bounds.heldAnswers()),
                        new MemoryQuota(bounds.heldInserts()),
                        () -> classifier,
                        new StatementAnalyzer(),
                        new UnsupportedStatementLog(),
                        boot);
        listener = new NativeListener(context);
        background = new Scheduler(config.name(), Limits.DEFAULT, config.seed(), this::pressure);
        http =
                config.http().listen() == null
                        ? null
                        : new HttpListener(context, background, registry);
        store =
                config.stateDir() == null
                        ? null
                        : new EndpointListStore(config.stateDir().resolve(LIST_FILE));
        InetSocketAddress at = config.metrics();
        metrics =
                at == null
                        ? null
                        : HTTPServer.builder()
                                .inetAddress(at.getAddress())
                                .port(at.getPort())
                                .registry(registry)
                                .buildAndStart();
    }

    /** Starts: the list first, then the clients. */
    public void start() {
        if (store != null) {
            try {
                kept = store.load(clock.nowNs(), System.currentTimeMillis());
            } catch (IOException e) {
                LOG.warn("the kept list of engines is not used: {}", e.getMessage());
            }
        }
        capture = RouterCapture.start(config, gateway.getClass(), core, registry);
        core.start();
        engines.start(core::announce, kept);
        background.add(
                TaskSpec.every("list.keep", Priority.HIGH, KEEP_NS, 10 * KEEP_NS).alsoAtStop(),
                lease -> keep());
        background.add(
                TaskSpec.every("engines.close-idle", Priority.NORMAL, KEEP_NS, 10 * KEEP_NS),
                lease -> engines.closeIdle());
        listener.start();
        if (http != null) {
            http.start();
        }
        LOG.atInfo()
                .addKeyValue("router", config.name())
                .addKeyValue("address", listener.address().toString())
                .addKeyValue("engines", config.engines().size())
                .log("started");
    }

    /** How hard service is pressed: by the part of its queue that is taken. */
    private double pressure() {
        return core == null ? 0 : Math.min(1, core.queued() / PRESSED);
    }

    /** Keeps the list where it has changed. */
    private void keep() throws IOException {
        List<Endpoint> now = engines.endpoints();
        if (store != null && !now.equals(kept)) {
            store.save(now, clock.nowNs(), System.currentTimeMillis());
            kept = now;
        }
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Where statements are taken over HTTP, or null. */
    public InetSocketAddress httpAddress() {
        return http == null ? null : http.address();
    }

    /** The front over HTTP, or null. */
    public HttpListener http() {
        return http;
    }

    /** What runs beside the service. */
    public Scheduler background() {
        return background;
    }

    /** The core, for who watches it. */
    public Core core() {
        return core;
    }

    /** The list says that of an engine. */
    public void phase(String engine, EndpointState phase) {
        engines.setState(engine, phase);
    }

    /** These engines get no fresh work, whatever the list says; also before the start. */
    public void drained(Set<String> names) {
        engines.setDrained(names);
    }

    /** Takes no fresh requests, or does again. */
    public void refuse(boolean refuses) {
        core.rejectNew(refuses);
    }

    /** Takes new settings: engines, users, and rules of classes; the rest needs a restart. */
    public void reload(RouterConfig next) {
        RouterConfig old = config;
        if (!next.settings().equals(old.settings())
                || !next.bounds().equals(old.bounds())
                || !next.listen().equals(old.listen())) {
            LOG.warn(
                    "reload: classes, kinds, limits, bounds and addresses change at a restart"
                            + " only");
        }
        config =
                new RouterConfig(
                        old.name(),
                        old.zone(),
                        old.seed(),
                        old.gateways(),
                        old.position(),
                        old.listen(),
                        old.metrics(),
                        old.stateDir(),
                        old.bounds(),
                        old.kinds(),
                        next.engines(),
                        old.classes(),
                        next.rules().stream()
                                .filter(
                                        classRule ->
                                                old.classes().containsKey(classRule.queryClass()))
                                .toList(),
                        old.defaultClass(),
                        old.defaultWriteClass(),
                        next.users(),
                        old.tenants(),
                        old.overShareWorth(),
                        old.allowed(),
                        old.limits(),
                        old.gauges(),
                        old.engineLogin(),
                        old.capture(),
                        old.http(),
                        old.control());
        classifier = new Classifier(config);
        engines.configure(next.engines().values());
        LOG.info("reloaded");
    }

    /**
     * Takes no more, lets work finish up to the limit of the settings, answers the rest, and
     * closes.
     */
    public void stop() throws InterruptedException {
        try {
            listener.stopAccepting();
        } catch (IOException e) {
            LOG.warn("stop: {}", e.toString());
        }
        long from = System.nanoTime();
        if (http != null) {
            http.refuseNew();
        }
        core.drain(config.bounds().stopNs());
        if (http != null) {
            http.awaitFetched(config.bounds().stopNs() - (System.nanoTime() - from));
            http.stop();
        }
        background.stop(LAST_RUNS_NS);
        end();
        capture.stop();
        LOG.info("stopped");
    }

    /** Ends at once, as a crash would: nothing is answered and nothing kept. */
    public void kill() {
        try {
            listener.stopAccepting();
        } catch (IOException e) {
            LOG.warn("kill: {}", e.toString());
        }
        if (capture != null) {
            capture.kill();
        }
        if (http != null) {
            http.kill();
        }
        background.kill();
        end();
    }

    private void end() {
        listener.closeAll();
        core.kill();
        timer.shutdownNow();
        workers.shutdownNow();
        engines.close();
        if (metrics != null) {
            metrics.close();
        }
    }
}
