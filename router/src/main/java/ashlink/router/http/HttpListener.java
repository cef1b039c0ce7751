package ashlink.router.http;

import ashlink.background.Scheduler;
import ashlink.background.plan.Priority;
import ashlink.background.plan.TaskSpec;
import ashlink.capture.log.FolderDisk;
import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import ashlink.router.spool.IdempotencyKeyLog;
import ashlink.router.spool.PageStore;
import ashlink.router.spool.SpoolDirectory;
import ashlink.router.spool.SpoolFiles;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.SpoolBudget;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP server of a router: assembles the parts of the server, and starts and stops them. */
public final class HttpListener {

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final long NS_PER_S = 1_000 * NS_PER_MS;
    private static final int MAX_THREADS = 64;
    private static final int MIN_THREADS = 4;
    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 2;
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long FETCH_POLL_MS = 10;
    private static final String KEY_DIRECTORY = "keys";

    /** The spool size divided by this number is reserved for statements without stored pages. */
    private static final int SPOOL_RESERVE_DIVISOR = 8;

    private final HttpSpec spec;
    private final Server server;
    private final ServerConnector connector;
    private final PageStore store;
    private final StatementRegistry registry;
    private final HeaderTimeoutGuard headerTimeoutGuard;
    private final Scheduler scheduler;

    /**
     * Creates a listener without starting it.
     *
     * @throws IOException if a configured directory cannot be used
     */
    public HttpListener(ListenerContext context, Scheduler scheduler, PrometheusRegistry metrics)
            throws IOException {
        RouterConfig config = context.config();
        this.spec = config.http();
        this.scheduler = scheduler;
        store = createPageStore(spec, openSpoolFiles(context));
        registry = new StatementRegistry(context, store, openIdempotencyKeys(config));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(config.name() + "-http");
        threads.setDaemon(true);
        server = new Server(threads);
        headerTimeoutGuard = new HeaderTimeoutGuard(spec.headerTimeoutNs());
        connector = createConnector(server, spec);
        connector.addBean(headerTimeoutGuard);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(spec.maxConnections(), connector));
        StatementHandler handler = new StatementHandler(context, registry, threads);
        server.setHandler(handler);
        registerMetrics(metrics, handler);
    }

    private static PageStore createPageStore(HttpSpec spec, SpoolFiles files) {
        long totalBytes =
                files == null
                        ? Math.min(spec.totalSpoolBytes(), spec.totalMemoryBytes())
                        : spec.totalSpoolBytes();
        SpoolBudget.Limits limits =
                new SpoolBudget.Limits(
                        Math.min(totalBytes, spec.statementSpoolBytes()),
                        Math.min(totalBytes, spec.userSpoolBytes()),
                        totalBytes,
                        totalBytes / SPOOL_RESERVE_DIVISOR);
        return new PageStore(
                files,
                new SpoolBudget(limits),
                new MemoryQuota(spec.totalMemoryBytes()),
                spec.memoryBytes());
    }

    /** Opens the idempotency keys; without a state directory, keys do not survive a restart. */
    private static IdempotencyKeys openIdempotencyKeys(RouterConfig config) throws IOException {
        IdempotencyKeyTable table =
                new IdempotencyKeyTable(
                        config.http().maxIdempotencyKeys(),
                        config.http().idempotencyKeyRetentionNs() / NS_PER_MS);
        Path stateDir = config.stateDir();
        if (stateDir == null) {
            return new IdempotencyKeys(table, null);
        }
        FolderDisk disk = FolderDisk.writing(stateDir.resolve(KEY_DIRECTORY));
        return new IdempotencyKeys(
                table, new IdempotencyKeyLog(disk, table, System.currentTimeMillis()));
    }

    private static ServerConnector createConnector(Server server, HttpSpec spec) {
        ServerConnector connector =
                new ServerConnector(
                        server,
                        ACCEPTORS,
                        SELECTORS,
                        new HttpConnectionFactory(createHttpConfiguration(spec)));
        connector.setHost(spec.listen().getAddress().getHostAddress());
        connector.setPort(spec.listen().getPort());
        connector.setIdleTimeout(spec.idleTimeoutNs() / NS_PER_MS);
        connector.setAcceptQueueSize(ACCEPT_BACKLOG);
        return connector;
    }

    private static HttpConfiguration createHttpConfiguration(HttpSpec spec) {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setRequestHeaderSize(spec.maxHeaderBytes());
        http.setIdleTimeout(spec.idleTimeoutNs() / NS_PER_MS);
        return http;
    }

    private void registerMetrics(PrometheusRegistry metrics, StatementHandler handler) {
        registerGauge(
                metrics,
                "ashlink_http_statements",
                "Statements that are not dropped",
                registry::openCount);
        registerGauge(metrics, "ashlink_http_polls", "Askers that wait", handler::openPolls);
        registerGauge(metrics, "ashlink_http_keys", "Idempotency keys", registry::keyCount);
        registerGauge(
                metrics,
                "ashlink_spool_bytes",
                "Bytes of the spool's budget that are taken",
                store::usedBytes);
    }

    private static SpoolFiles openSpoolFiles(ListenerContext context) throws IOException {
        Path dir = context.config().http().spool();
        return dir == null
                ? null
                : new SpoolDirectory(dir, context.config().name(), context.boot());
    }

    private static void registerGauge(
            PrometheusRegistry metrics, String name, String help, DoubleSupplier valueSupplier) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(valueSupplier.getAsDouble()))
                .register(metrics);
    }

    /** Starts the background tasks and accepts requests. */
    public void start() {
        scheduler.add(
                new TaskSpec(
                        "statements.expire",
                        Priority.HIGH,
                        250 * NS_PER_MS,
                        0.1,
                        NS_PER_S,
                        10 * NS_PER_S,
                        false),
                lease -> registry.expire(System.nanoTime()));
        scheduler.add(
                TaskSpec.every(
                        "http.header-time",
                        Priority.HIGH,
                        Math.max(50 * NS_PER_MS, spec.headerTimeoutNs() / 4),
                        10 * NS_PER_S),
                lease -> headerTimeoutGuard.checkAll(System.nanoTime()));
        scheduler.add(
                TaskSpec.every("keys.tidy", Priority.NORMAL, 10 * NS_PER_S, 60 * NS_PER_S),
                lease -> registry.expireKeys());
        scheduler.add(
                TaskSpec.once("spool.clean", Priority.NORMAL, 30 * NS_PER_S, 600 * NS_PER_S),
                lease -> {
                    int deleted = store.deleteFilesOfEarlierRuns();
                    if (deleted > 0) {
                        LOG.info("spool files of earlier runs deleted files={}", deleted);
                    }
                });
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException(
                    "cannot start the HTTP API on " + spec.listen() + ": " + e.getMessage(), e);
        }
        LOG.atInfo().addKeyValue("address", address().toString()).log("HTTP API started");
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress(spec.listen().getAddress(), connector.getLocalPort());
    }

    /** Rejects new statements from now on; open statements continue. */
    public void rejectNew() {
        registry.rejectNew();
    }

    /** Waits until clients have fetched all results, or until the time limit has passed. */
    public void awaitFetched(long limitNs) throws InterruptedException {
        long deadlineNs = System.nanoTime() + limitNs;
        while (!registry.allFetched() && System.nanoTime() < deadlineNs) {
            Thread.sleep(FETCH_POLL_MS);
        }
    }

    /** Returns the number of known statements, including discarded ones. */
    public int knownStatements() {
        return registry.knownCount();
    }

    /** Returns the number of statements that are not discarded. */
    public int openStatements() {
        return registry.openCount();
    }

    /** Returns the number of bytes that are reserved from the spool budget. */
    public long spooledBytes() {
        return store.usedBytes();
    }

    /** Discards all results and stops; pending polls are told that the router is shutting down. */
    public void stop() {
        registry.stop();
        shutDown();
    }

    /** Stops immediately, like a crash: no client receives a response. */
    public void kill() {
        connector.getConnectedEndPoints().forEach(endPoint -> endPoint.close());
        shutDown();
    }

    private void shutDown() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warn("HTTP server not stopped cleanly error=\"{}\"", e.toString());
        }
        try {
            registry.close();
        } catch (IOException e) {
            LOG.warn("spool and idempotency key log not closed cleanly error=\"{}\"", e.toString());
        }
    }
}
