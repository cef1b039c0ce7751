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
import ashlink.router.core.AdmissionLimits;
import ashlink.router.core.Core;
import ashlink.router.core.CoreClock;
import ashlink.router.core.DelayMonitor;
import ashlink.router.core.PrometheusRequestMetrics;
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
import java.util.concurrent.ThreadPoolExecutor;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Router: creates the components, and starts, reloads and stops them. Several routers in one
 * process share no state.
 */
public final class Router {

    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final long NS_PER_S = 1_000_000_000L;
    private static final long TASK_INTERVAL_NS = NS_PER_S;
    private static final long TASK_DEADLINE_NS = 10 * NS_PER_S;

    /** Maximum time for the last runs of background tasks at shutdown. */
    private static final long BACKGROUND_STOP_TIMEOUT_NS = 5 * NS_PER_S;

    /** Queued events from which on background tasks get their minimum share of the CPU. */
    private static final double FULL_LOAD_EVENTS = 256;

    private final CoreClock clock = new CoreClock();
    private final ThreadPoolExecutor workers;
    private final ScheduledThreadPoolExecutor timer;
    private final Core core;
    private final EngineConnections engines;
    private final NativeListener listener;
    private final Scheduler background;

    /** Null if the HTTP API is disabled. */
    private final HttpListener http;

    private final EndpointCache endpointCache;

    /** Null if the metrics endpoint is disabled. */
    private final HTTPServer metrics;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final WorkloadManager decisionModule;
    private volatile RouterConfig config;
    private volatile Classifier classifier;

    /** Null before {@link #start}. */
    private RouterCapture capture;

    /** Creates a router with the {@link DefaultWorkloadManager}. */
    public Router(RouterConfig config) throws IOException {
        this(config, DefaultWorkloadManager::new);
    }

    /**
     * Creates a router with another decision module, such as a baseline.
     *
     * @param moduleFactory creates the decision module
     * @throws IOException if an address cannot be bound or a directory is in use
     */
    public Router(RouterConfig config, Function<Settings, WorkloadManager> moduleFactory)
            throws IOException {
        this.config = config;
        this.classifier = new Classifier(config);
        workers = RouterExecutors.workers(config);
        timer = RouterExecutors.timer(config);
        WireLimits limits = wireLimits(config);
        engines = new EngineConnections(config, clock, workers, limits);
        decisionModule = moduleFactory.apply(config.settings());
        core =
                new Core(
                        config.name(),
                        decisionModule,
                        config.allQueryClasses(),
                        engines,
                        clock,
                        new AdmissionLimits(
                                config.resourceLimits().eventQueueCapacity(),
                                config.resourceLimits().maxOpenRequests(),
                                config.resourceLimits().maxClientConnections()),
                        new PrometheusRequestMetrics(registry),
                        new DelayMonitor(clock::nowNs));
        ListenerContext context = listenerContext(limits);
        listener = new NativeListener(context);
        background =
                new Scheduler(config.name(), Limits.DEFAULT, config.seed(), this::decisionLoad);
        http =
                config.http().listen() == null
                        ? null
                        : new HttpListener(context, background, registry);
        endpointCache = new EndpointCache(config, clock);
        metrics = config.metrics() == null ? null : startMetrics(config.metrics());
    }

    private static WireLimits wireLimits(RouterConfig config) {
        WireLimits defaults = WireLimits.DEFAULT;
        return new WireLimits(
                defaults.nameBytes(),
                defaults.textBytes(),
                defaults.settings(),
                defaults.columns(),
                config.resourceLimits().maxPacketBytes(),
                defaults.frameBytes());
    }

    private ListenerContext listenerContext(WireLimits limits) {
        String boot = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        return new ListenerContext(
                () -> config,
                core,
                engines,
                workers,
                timer,
                limits,
                new MemoryQuota(config.resourceLimits().totalResponseBufferBytes()),
                new MemoryQuota(config.resourceLimits().totalInsertBufferBytes()),
                () -> classifier,
                new StatementAnalyzer(),
                new UnsupportedStatementLog(),
                boot);
    }

    private HTTPServer startMetrics(InetSocketAddress address) throws IOException {
        return HTTPServer.builder()
                .inetAddress(address.getAddress())
                .port(address.getPort())
                .registry(registry)
                .buildAndStart();
    }

    /** Starts the router: the endpoints first, then the listeners. */
    public void start() {
        List<Endpoint> cachedEndpoints = endpointCache.load();
        capture = RouterCapture.start(config, decisionModule.getClass(), core, registry);
        core.start();
        engines.start(core::updateEndpoints, cachedEndpoints);
        background.add(
                TaskSpec.every("list.keep", Priority.HIGH, TASK_INTERVAL_NS, TASK_DEADLINE_NS)
                        .withFinalRun(),
                lease -> endpointCache.save(engines.endpoints()));
        background.add(
                TaskSpec.every(
                        "engines.close-idle", Priority.NORMAL, TASK_INTERVAL_NS, TASK_DEADLINE_NS),
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

    /** Returns the load of the decision thread from 0 to 1, by the length of its queue. */
    private double decisionLoad() {
        return core == null ? 0 : Math.min(1, core.queuedEvents() / FULL_LOAD_EVENTS);
    }

    /** Returns the address of the native protocol listener. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Returns the address of the HTTP API, or null if the HTTP API is disabled. */
    public InetSocketAddress httpAddress() {
        return http == null ? null : http.address();
    }

    /** Returns the listener of the HTTP API, or null if the HTTP API is disabled. */
    public HttpListener http() {
        return http;
    }

    /** Returns the scheduler of background tasks. */
    public Scheduler background() {
        return background;
    }

    /** Returns the core. */
    public Core core() {
        return core;
    }

    /** Sets the state of an engine in the endpoint list. */
    public void setEngineState(String engine, EndpointState state) {
        engines.setState(engine, state);
    }

    /** Sets the engines that operators drain; may be called before {@link #start}. */
    public void setDrainedEngines(Set<String> names) {
        engines.setDrained(names);
    }

    /** Sets whether new requests are rejected. */
    public void rejectNewRequests(boolean rejected) {
        core.rejectNew(rejected);
    }

    /** Replaces the engines, users and classification rules; the rest requires a restart. */
    public void reload(RouterConfig updated) {
        if (ConfigReload.needsRestart(config, updated)) {
            LOG.warn(
                    "reload is partial, some changes require a restart"
                            + " reason=\"classes, engine kinds, limits or addresses changed\"");
        }
        config = ConfigReload.merge(config, updated);
        classifier = new Classifier(config);
        engines.configure(updated.engines().values());
        LOG.info("reloaded");
    }

    /**
     * Shuts down gracefully: rejects new requests, waits for open requests up to the configured
     * timeout, sends a final response for the remaining ones, and closes all connections.
     */
    public void stop() throws InterruptedException {
        try {
            listener.stopAccepting();
        } catch (IOException e) {
            LOG.warn("close of the listener failed error=\"{}\"", e.toString());
        }
        long stopStartNs = System.nanoTime();
        if (http != null) {
            http.rejectNew();
        }
        core.drain(config.resourceLimits().shutdownTimeoutNs());
        if (http != null) {
            http.awaitFetched(
                    config.resourceLimits().shutdownTimeoutNs()
                            - (System.nanoTime() - stopStartNs));
            http.stop();
        }
        background.stop(BACKGROUND_STOP_TIMEOUT_NS);
        closeAll();
        capture.stop();
        LOG.info("stopped");
    }

    /** Stops immediately, like a crash: sends no further response and stores nothing. */
    public void kill() {
        try {
            listener.stopAccepting();
        } catch (IOException e) {
            LOG.warn("close of the listener failed error=\"{}\"", e.toString());
        }
        if (capture != null) {
            capture.kill();
        }
        if (http != null) {
            http.kill();
        }
        background.kill();
        closeAll();
    }

    private void closeAll() {
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
