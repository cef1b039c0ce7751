package ashlink.config;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Numbers with units, as they stand in settings. */
final class Units {

    static final Map<String, Double> DURATION_NS =
            Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9, "m", 6e10, "h", 3.6e12, "d", 8.64e13);
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
    static final Map<String, Double> RATE_PER_S =
            Map.of("/s", 1.0, "/m", 1 / 60.0, "/h", 1 / 3600.0);
    private static final Pattern NUMBER = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)([A-Za-z/]*)");

    private Units() {}

    /**
     * The number in the base unit; nothing where the text has no known unit. A bare 0 needs none.
     */
    static OptionalDouble parse(String text, Map<String, Double> units) {
        Matcher matcher = NUMBER.matcher(text);
        if (!matcher.matches()) {
            return OptionalDouble.empty();
        }
        double number = Double.parseDouble(matcher.group(1));
        Double unit =
                matcher.group(2).isEmpty() && number == 0
                        ? Double.valueOf(1)
                        : units.get(matcher.group(2));
        return unit == null ? OptionalDouble.empty() : OptionalDouble.of(number * unit);
    }
}
