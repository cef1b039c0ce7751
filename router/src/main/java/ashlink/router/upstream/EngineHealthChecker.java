package ashlink.router.upstream;

import ashlink.config.RouterConfig;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.router.core.EngineTransport.HealthCheckListener;
import ashlink.wire.Block;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.QueryPacket;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Checks the health of an engine by querying its metrics; blocks until the engine responds. */
final class EngineHealthChecker {

    private static final Logger LOG = LoggerFactory.getLogger(EngineHealthChecker.class);
    private static final int MAX_METRIC_ROWS = 10_000;
    private static final long NS_PER_MS = 1_000_000L;
    private static final String METRICS_QUERY =
            "SELECT metric, toFloat64(value) AS value FROM system.metrics";

    /** Response timeout as a multiple of the connect timeout. */
    private static final int RESPONSE_TIMEOUT_FACTOR = 2;

    private final EngineConnections engines;
    private final RouterConfig config;
    private final LoadReportReader loadReports;
    private final WireLimits limits;
    private final String query;

    EngineHealthChecker(
            EngineConnections engines,
            RouterConfig config,
            LoadReportReader loadReports,
            WireLimits limits) {
        this.engines = engines;
        this.config = config;
        this.loadReports = loadReports;
        this.limits = limits;
        this.query = query(config);
    }

    private static String query(RouterConfig config) {
        String uptimeMetric =
                config.loadMetrics().uptimeS().stream()
                        .map(RouterConfig.LoadMetric::name)
                        .findFirst()
                        .orElse("");
        if (uptimeMetric.isEmpty()) {
            return METRICS_QUERY;
        }
        return METRICS_QUERY
                + " UNION ALL SELECT '"
                + uptimeMetric.replace("'", "")
                + "', toFloat64(uptime())";
    }

    /** Checks the health of an engine and reports the result to the listener. */
    void check(String engine, HealthCheckListener listener) {
        Outcome outcome = Outcome.CONNECT_FAILED;
        LoadReport report = LoadReport.NONE;
        NativeEngineConnection connection = null;
        boolean succeeded = false;
        try {
            connection = engines.acquire(engine, "");
            outcome = Outcome.RESET;
            Map<String, Double> metrics = queryMetrics(connection);
            succeeded = metrics != null;
            outcome = succeeded ? Outcome.SERVED : Outcome.ERROR;
            if (succeeded) {
                report = loadReports.report(metrics);
                engines.recordUptime(engine, loadReports.uptimeS(metrics));
            }
        } catch (NativeConnectionPool.ExhaustedException e) {
            outcome = Outcome.NOT_SENT;
        } catch (SocketTimeoutException e) {
            outcome = connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        } catch (IOException e) {
            LOG.debug("health check failed engine={} error=\"{}\"", engine, e.toString());
        } finally {
            if (connection != null) {
                engines.release(connection, succeeded);
            }
            listener.onHealthCheckCompleted(outcome, report);
        }
    }

    /** Returns the metrics by name, or null if the engine responds with an error. */
    private Map<String, Double> queryMetrics(NativeEngineConnection connection) throws IOException {
        int connectTimeoutMs =
                (int) Math.max(1, config.resourceLimits().connectTimeoutNs() / NS_PER_MS);
        ByteBuf packets = encodeQuery(connection.revision());
        connection.setReadTimeout(RESPONSE_TIMEOUT_FACTOR * connectTimeoutMs);
        connection.write(packets);
        Map<String, Double> metrics = new HashMap<>();
        while (true) {
            ServerPacket kind = ServerPacket.of(connection.in().readVarUInt());
            if (kind == ServerPacket.EXCEPTION) {
                ServerError.read(connection.in(), limits);
                return null;
            } else if (kind == ServerPacket.END_OF_STREAM) {
                connection.setReadTimeout(0);
                return metrics;
            } else if (kind.hasBlock()) {
                connection.in().readString("table", limits.nameBytes());
                Block block = connection.blocks().read(false, MAX_METRIC_ROWS);
                if (kind == ServerPacket.DATA) {
                    metrics.putAll(LoadReportReader.values(block));
                }
            } else {
                connection.skipPacket(kind);
            }
        }
    }

    private ByteBuf encodeQuery(int revision) throws IOException {
        ByteBuf out = new ByteBuf();
        new QueryPacket("", ClientInfo.NONE, List.of(), QueryPacket.COMPLETE, false, query)
                .write(revision, out);
        out.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
        Block.END.write(null, out);
        return out;
    }
}
