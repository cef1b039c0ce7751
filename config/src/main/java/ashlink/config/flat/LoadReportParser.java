package ashlink.config.flat;

import ashlink.decisions.api.LoadReport;
import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * Reads an engine's load report, pairs of a name and a number, by the names of the settings; the
 * rest is skipped.
 */
public final class LoadReportParser {

    private LoadReportParser() {}

    /**
     * The report of a text whose pairs stand apart by {@code separator}. What is missing is NaN,
     * never 0, and so is a value below 0 or without end, as late and noisy reports may have; a pair
     * without a number is told to {@code complain}, which may throw, and is missing.
     */
    public static LoadReport read(String text, char separator, Consumer<String> complain) {
        double waiting = Double.NaN;
        double cores = Double.NaN;
        double memory = Double.NaN;
        double disks = Double.NaN;
        double inHand = Double.NaN;
        for (int from = 0; from <= text.length(); ) {
            int end = text.indexOf(separator, from);
            String pair = text.substring(from, end < 0 ? text.length() : end);
            from = end < 0 ? text.length() + 1 : end + 1;
            if (pair.isEmpty()) {
                continue; // a separator at the end
            }
            int colon = pair.indexOf(':');
            OptionalDouble told =
                    colon < 0 ? OptionalDouble.empty() : number(pair.substring(colon + 1));
            if (told.isEmpty()) {
                complain.accept(pair);
                continue;
            }
            double value = told.getAsDouble();
            switch (pair.substring(0, colon)) {
                case "pending", "queue" -> waiting = value;
                case "cpu_share", "util" -> cores = value;
                case "x0" -> memory = value;
                case "x1" -> disks = value;
                case "busy_reqs", "inflight" -> inHand = value;
                default -> {}
            }
        }
        return new LoadReport(waiting, cores, memory, disks, inHand);
    }

    private static OptionalDouble number(String text) {
        try {
            double value = Double.parseDouble(text);
            return OptionalDouble.of(value >= 0 && Double.isFinite(value) ? value : Double.NaN);
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
