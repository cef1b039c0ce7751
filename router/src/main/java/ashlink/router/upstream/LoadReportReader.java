package ashlink.router.upstream;

import ashlink.config.RouterConfig.Gauge;
import ashlink.config.RouterConfig.Gauges;
import ashlink.decisions.api.LoadReport;
import ashlink.router.core.Attempt.AttemptReport;
import ashlink.wire.Block;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Takes an engine's load, and what a statement needed, out of blocks of names and values. */
public final class LoadReportReader {

    private final Gauges names;

    /** Reads the gauges of those names. */
    public LoadReportReader(Gauges names) {
        this.names = names;
    }

    /**
     * Values by name out of a block that has a column of names and one of values; any other block
     * has none.
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

    /** The load that the values tell. */
    public LoadReport report(Map<String, Double> values) {
        return new LoadReport(
                of(values, names.waiting()),
                of(values, names.coresBusy()),
                of(values, names.memoryGranted()),
                of(values, names.disksBusy()),
                of(values, names.inHand()));
    }

    /** All that an answer tells. */
    public AttemptReport told(Map<String, Double> values) {
        double work = of(values, names.workMs());
        double memory = of(values, names.memoryMb());
        return new AttemptReport(
                Double.isNaN(work) ? 0 : work, Double.isNaN(memory) ? 0 : memory, report(values));
    }

    /** Seconds since the engine started, or a negative number where it does not tell. */
    public double uptimeS(Map<String, Double> values) {
        double up = of(values, names.uptimeS());
        return Double.isNaN(up) ? -1 : up;
    }

    private static double of(Map<String, Double> values, List<Gauge> gauges) {
        for (Gauge gauge : gauges) {
            Double value = values.get(gauge.name());
            if (value != null) {
                return value / gauge.divisor();
            }
        }
        return Double.NaN;
    }
}
