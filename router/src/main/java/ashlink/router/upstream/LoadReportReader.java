package ashlink.router.upstream;

import ashlink.config.RouterConfig.LoadMetric;
import ashlink.config.RouterConfig.LoadMetrics;
import ashlink.decisions.api.LoadReport;
import ashlink.router.core.Attempt.AttemptReport;
import ashlink.wire.Block;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Extracts the load of an engine and the cost of a query from blocks of metrics. */
public final class LoadReportReader {

    private final LoadMetrics metrics;

    /** Creates a reader of the given metrics. */
    public LoadReportReader(LoadMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Returns the values of a block by name; empty unless the block has a column of names and a
     * column of values.
     */
    public static Map<String, Double> values(Block block) {
        Map<String, Double> values = new HashMap<>();
        Block.Column name =
                block.column("name") != null ? block.column("name") : block.column("metric");
        Block.Column value = block.column("value");
        if (name != null && value != null) {
            List<Object> keys = name.values();
            for (int i = 0; i < keys.size(); i++) {
                if (keys.get(i) instanceof String key
                        && value.values().get(i) instanceof Number number) {
                    values.put(key, number.doubleValue());
                }
            }
        }
        return values;
    }

    /** Returns the load report; absent metrics are NaN. */
    public LoadReport report(Map<String, Double> values) {
        return new LoadReport(
                value(values, metrics.queued()),
                value(values, metrics.coreUtilization()),
                value(values, metrics.memoryGranted()),
                value(values, metrics.diskUtilization()),
                value(values, metrics.inFlight()));
    }

    /** Returns the cost and the load report; absent cost values are 0. */
    public AttemptReport attemptReport(Map<String, Double> values) {
        double workMs = value(values, metrics.workMs());
        double memoryMb = value(values, metrics.memoryMb());
        return new AttemptReport(
                Double.isNaN(workMs) ? 0 : workMs,
                Double.isNaN(memoryMb) ? 0 : memoryMb,
                report(values));
    }

    /** Returns the uptime of the engine in seconds; negative if unknown. */
    public double uptimeS(Map<String, Double> values) {
        double uptimeS = value(values, metrics.uptimeS());
        return Double.isNaN(uptimeS) ? -1 : uptimeS;
    }

    private static double value(Map<String, Double> values, List<LoadMetric> candidates) {
        for (LoadMetric candidate : candidates) {
            Double value = values.get(candidate.name());
            if (value != null) {
                return value / candidate.divisor();
            }
        }
        return Double.NaN;
    }
}
