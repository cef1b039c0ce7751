package ashlink.config;

import ashlink.config.RouterConfig.LoadMetric;
import ashlink.config.RouterConfig.LoadMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads the names of the metrics in which engines report their load: {@code (gauges ...)}. */
final class LoadMetricsReader {

    private static final char DIVISOR_SEPARATOR = '/';
    private static final Pattern DIVISOR = Pattern.compile("[0-9]{1,9}");

    private LoadMetricsReader() {}

    static LoadMetrics read(Section top) {
        try (Section section = top.section("gauges")) {
            return new LoadMetrics(
                    metrics(section, "waiting"),
                    metrics(section, "cores-busy"),
                    metrics(section, "memory-granted"),
                    metrics(section, "disks-busy"),
                    metrics(section, "in-hand"),
                    metrics(section, "work-ms"),
                    metrics(section, "memory-mb"),
                    metrics(section, "uptime-s"));
        }
    }

    private static List<LoadMetric> metrics(Section section, String setting) {
        List<LoadMetric> metrics = new ArrayList<>();
        for (String word : section.words(setting)) {
            Optional<LoadMetric> metric = metric(word);
            if (metric.isEmpty()) {
                section.reject(
                        setting,
                        "metric names such as QueriesWaiting, optionally with a positive divisor"
                                + " as in CoresBusyPermille/1000, instead of "
                                + word);
            }
            metric.ifPresent(metrics::add);
        }
        return List.copyOf(metrics);
    }

    /** Parses a metric name that may be followed by a slash and a positive divisor. */
    private static Optional<LoadMetric> metric(String word) {
        int slash = word.indexOf(DIVISOR_SEPARATOR);
        if (slash < 0) {
            return Optional.of(new LoadMetric(word, 1));
        }
        String digits = word.substring(slash + 1);
        if (slash == 0 || !DIVISOR.matcher(digits).matches() || Integer.parseInt(digits) == 0) {
            return Optional.empty();
        }
        return Optional.of(new LoadMetric(word.substring(0, slash), Integer.parseInt(digits)));
    }
}
