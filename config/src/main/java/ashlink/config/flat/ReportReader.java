package ashlink.config.flat;

import ashlink.Gateway.Report;
import java.util.function.Consumer;

/** Reads an engine's load report, pairs of a name and a number, by the names of the settings; the rest is skipped. */
public final class ReportReader {

    private ReportReader() { }

    /**
     * The report of a text whose pairs stand apart by {@code separator}. What is missing is NaN, never 0; a pair without
     * a number is told to {@code complain}, which may throw, and is missing.
     */
    public static Report read(String text, char separator, Consumer<String> complain) {
        double waiting = Double.NaN;
        double cores = Double.NaN;
        double memory = Double.NaN;
        double disks = Double.NaN;
        double inHand = Double.NaN;
        for (int from = 0; from <= text.length();) {
            int end = text.indexOf(separator, from);
            String pair = text.substring(from, end < 0 ? text.length() : end);
            from = end < 0 ? text.length() + 1 : end + 1;
            int colon = pair.indexOf(':');
            double value = colon < 0 ? Double.NaN : number(pair.substring(colon + 1));
            if (Double.isNaN(value)) {
                complain.accept(pair);
                continue;
            }
            switch (pair.substring(0, colon)) {
                case "pending", "queue" -> waiting = value;
                case "cpu_share", "util" -> cores = value;
                case "x0" -> memory = value;
                case "x1" -> disks = value;
                case "busy_reqs", "inflight" -> inHand = value;
                default -> { }
            }
        }
        return new Report(waiting, cores, memory, disks, inHand);
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && Double.isFinite(value) ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
