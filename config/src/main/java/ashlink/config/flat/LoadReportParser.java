package ashlink.config.flat;

import ashlink.decisions.api.LoadReport;
import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * Parses the load report of an engine, which consists of pairs {@code name:number}. Maps the names
 * that the platform uses to the fields of {@link LoadReport}; skips pairs with other names.
 */
public final class LoadReportParser {

    private static final char NAME_END = ':';

    private double queued = Double.NaN;
    private double cpuUtilization = Double.NaN;
    private double memoryUtilization = Double.NaN;
    private double diskUtilization = Double.NaN;
    private double inFlight = Double.NaN;

    private LoadReportParser() {}

    /**
     * Parses a report. A value that is missing, negative or not finite is read as NaN, never as 0.
     *
     * @param separator character between two pairs; the text may also end with the separator
     * @param onMalformedPair receives each pair without a number; may throw to reject the report,
     *     otherwise the pair is skipped
     */
    public static LoadReport read(String text, char separator, Consumer<String> onMalformedPair) {
        LoadReportParser parser = new LoadReportParser();
        int start = 0;
        while (start <= text.length()) {
            int separatorIndex = text.indexOf(separator, start);
            int end = separatorIndex < 0 ? text.length() : separatorIndex;
            if (end > start) {
                parser.readPair(text.substring(start, end), onMalformedPair);
            }
            start = end + 1;
        }
        return parser.report();
    }

    private void readPair(String pair, Consumer<String> onMalformedPair) {
        int nameEnd = pair.indexOf(NAME_END);
        OptionalDouble value =
                nameEnd < 0 ? OptionalDouble.empty() : parseValue(pair.substring(nameEnd + 1));
        if (value.isEmpty()) {
            onMalformedPair.accept(pair);
            return;
        }
        setValue(pair.substring(0, nameEnd), value.getAsDouble());
    }

    private void setValue(String name, double value) {
        switch (name) {
            case "pending", "queue" -> queued = value;
            case "cpu_share", "util" -> cpuUtilization = value;
            case "x0" -> memoryUtilization = value;
            case "x1" -> diskUtilization = value;
            case "busy_reqs", "inflight" -> inFlight = value;
            default -> {
                // Engines may report values that the router does not use.
            }
        }
    }

    private LoadReport report() {
        return new LoadReport(queued, cpuUtilization, memoryUtilization, diskUtilization, inFlight);
    }

    private static OptionalDouble parseValue(String text) {
        try {
            double value = Double.parseDouble(text);
            return OptionalDouble.of(value >= 0 && Double.isFinite(value) ? value : Double.NaN);
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
