package ashlink.config;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses numbers with units in settings files, and defines constants of time and size. */
final class Units {

    static final long NS_PER_MS = 1_000_000L;
    static final long NS_PER_S = 1_000 * NS_PER_MS;
    static final long NS_PER_HOUR = 3_600 * NS_PER_S;
    static final long KIB_BYTES = 1L << 10;
    static final long MIB_BYTES = 1L << 20;
    static final long GIB_BYTES = 1L << 30;
    static final long TIB_BYTES = 1L << 40;

    /** Nanoseconds per unit of time. */
    static final Map<String, Double> DURATION_NS =
            Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9, "m", 6e10, "h", 3.6e12, "d", 8.64e13);

    /** Bytes per unit of size. */
    static final Map<String, Double> SIZE_BYTES =
            Map.of(
                    "B",
                    1.0,
                    "KiB",
                    1024.0,
                    "MiB",
                    1048576.0,
                    "GiB",
                    1073741824.0,
                    "kB",
                    1e3,
                    "MB",
                    1e6,
                    "GB",
                    1e9);

    /** Events per second for each unit of rate. */
    static final Map<String, Double> RATE_PER_S =
            Map.of("/s", 1.0, "/m", 1 / 60.0, "/h", 1 / 3600.0);

    private static final Pattern NUMBER = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)([A-Za-z/]*)");

    private Units() {}

    /**
     * Returns the number in the base unit, or an empty result if the text is not a number with one
     * of the units. The number 0 needs no unit.
     */
    static OptionalDouble parse(String text, Map<String, Double> units) {
        Matcher matcher = NUMBER.matcher(text);
        if (!matcher.matches()) {
            return OptionalDouble.empty();
        }
        double number = Double.parseDouble(matcher.group(1));
        String unit = matcher.group(2);
        if (unit.isEmpty() && number == 0) {
            return OptionalDouble.of(0);
        }
        Double factor = units.get(unit);
        return factor == null ? OptionalDouble.empty() : OptionalDouble.of(number * factor);
    }
}
