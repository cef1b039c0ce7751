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

/** The HTTP server of a router: put together, started and stopped. */
public final class HttpListener {

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final int THREADS = 64;

    private final HttpSpec spec;
    private final Server server;
    private final ServerConnector connector;
    private final PageStore store;
    private final StatementRegistry registry;
    private final HeaderTimeoutGuard watch;
    private final Scheduler background;

    /** A front that is not started; {@code stateDir} null: keys live as long as the router. */
    public HttpListener(ListenerContext context, Scheduler background, PrometheusRegistry metrics)
            throws IOException {
        this(context, background, metrics, files(context));
    }

    private HttpListener(
            ListenerContext context,
            Scheduler background,
            PrometheusRegistry metrics,
            SpoolFiles files)
            throws IOException {
        RouterConfig config = context.config();
        this.spec = config.http();
        this.background = background;
        long all =
                files == null ? Math.min(spec.spoolAll(), spec.memoryAllBytes()) : spec.spoolAll();
        store =
                new PageStore(
                        files,
                        new SpoolBudget(
                                new SpoolBudget.Limits(
                                        Math.min(all, spec.spoolStatement()),
                                        Math.min(all, spec.spoolUser()),
                                        all,
                                        all / 8)),
                        new MemoryQuota(spec.memoryAllBytes()),
                        spec.memoryBytes());
        IdempotencyKeyTable keys = new IdempotencyKeyTable(spec.keys(), spec.keyNs() / MS);
        Path dir = config.stateDir();
        IdempotencyKeyLog journal =
                dir == null
                        ? null
                        : new IdempotencyKeyLog(
                                FolderDisk.writing(dir.resolve("keys")),
                                keys,
                                System.currentTimeMillis());
        registry = new StatementRegistry(context, store, new IdempotencyKeys(keys, journal));
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
        threads.setName(config.name() + "-http");
        threads.setDaemon(true);
        server = new Server(threads);
        connector = new ServerConnector(server, 1, 2, new HttpConnectionFactory(http()));
        connector.setHost(spec.listen().getAddress().getHostAddress());
        connector.setPort(spec.listen().getPort());
        connector.setIdleTimeout(spec.idleNs() / MS);
        connector.setAcceptQueueSize(1024);
        watch = new HeaderTimeoutGuard(spec.headerNs());
        connector.addBean(watch);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(spec.connections(), connector));
        StatementHandler handler = new StatementHandler(context, registry, threads);
        server.setHandler(handler);
        gauge(
                metrics,
                "ashlink_http_statements",
                "Statements that are not dropped",
                registry::openCount);
        gauge(metrics, "ashlink_http_polls", "Askers that wait", handler::openPolls);
        gauge(metrics, "ashlink_http_keys", "Idempotency keys", registry::keyCount);
        gauge(
                metrics,
                "ashlink_spool_bytes",
                "Bytes of the spool's budget that are taken",
                store::usedBytes);
    }

    private static SpoolFiles files(ListenerContext context) throws IOException {
        Path dir = context.config().http().spool();
        return dir == null
                ? null
                : new SpoolDirectory(dir, context.config().name(), context.boot());
    }

    private static void gauge(
            PrometheusRegistry metrics, String name, String help, DoubleSupplier figure) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(figure.getAsDouble()))
                .register(metrics);
    }

    private HttpConfiguration http() {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setRequestHeaderSize(spec.headerBytes());
        http.setIdleTimeout(spec.idleNs() / MS);
        return http;
    }

    /** Starts taking requests, and its upkeep. */
    public void start() {
        background.add(
                new TaskSpec("statements.expire", Priority.HIGH, 250 * MS, 0.1, S, 10 * S, false),
                lease -> registry.expire(System.nanoTime()));
        background.add(
                TaskSpec.every(
                        "http.header-time",
                        Priority.HIGH,
                        Math.max(50 * MS, spec.headerNs() / 4),
                        10 * S),
                lease -> watch.checkAll(System.nanoTime()));
        background.add(
                TaskSpec.every("keys.tidy", Priority.NORMAL, 10 * S, 60 * S),
                lease -> registry.expireKeys());
        background.add(
                TaskSpec.once("spool.clean", Priority.NORMAL, 30 * S, 600 * S),
                lease -> {
                    int gone = store.deleteLeftovers();
                    if (gone > 0) {
                        LOG.info("the spool had {} files of earlier starts; they are gone", gone);
                    }
                });
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP front does not start: " + e.getMessage(), e);
        }
        LOG.atInfo()
                .addKeyValue("address", address().toString())
                .log("statements are taken over HTTP");
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(spec.listen().getAddress(), connector.getLocalPort());
    }

    /** Takes no more statements; those in hand go on. */
    public void refuseNew() {
        registry.rejectNew();
    }

    /** Lets clients fetch what is answered for that time. */
    public void awaitFetched(long limitNs) throws InterruptedException {
        long until = System.nanoTime() + limitNs;
        while (!registry.allFetched() && System.nanoTime() < until) {
            Thread.sleep(10);
        }
    }

    /** Statements known, also those that were dropped. */
    public int known() {
        return registry.knownCount();
    }

    /** Statements that are not dropped. */
    public int open() {
        return registry.openCount();
    }

    /** Bytes of the spool's budget that are taken. */
    public long spooled() {
        return store.usedBytes();
    }

    /** Tells all who wait that the router stops, and ends. */
    public void stop() {
        registry.stop();
        end();
    }

    /** Ends at once, as a crash would: nobody is told anything. */
    public void kill() {
        connector.getConnectedEndPoints().forEach(endPoint -> endPoint.close());
        end();
    }

    private void end() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warn("the HTTP front: {}", e.toString());
        }
        try {
            registry.close();
        } catch (IOException e) {
            LOG.warn("the HTTP front: {}", e.toString());
        }
    }
}
