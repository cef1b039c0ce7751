package ashlink.config;

import java.util.Map;
import java.util.OptionalDouble;

/**
 * The accepted units and the accepted range of a numeric setting.
 *
 * @param units size of each unit in the base unit; the empty name stands for a number without unit
 * @param min smallest accepted value, in the base unit
 * @param max largest accepted value, in the base unit
 * @param accepted description of the accepted values for error messages
 */
record Quantity(Map<String, Double> units, double min, double max, String accepted) {

    private static final Map<String, Double> NO_UNIT = Map.of("", 1.0);

    /** Whole doubles of a smaller absolute value convert to {@code long} without loss. */
    private static final double MAX_EXACT_INTEGER = 1e15;

    /** Returns the quantity of a number without a unit. */
    static Quantity number(double min, double max) {
        return new Quantity(
                NO_UNIT, min, max, "a number from " + format(min) + " to " + format(max));
    }

    /** Returns the quantity of an integer without a unit. */
    static Quantity integer(long min, long max) {
        return new Quantity(NO_UNIT, min, max, "a whole number from " + min + " to " + max);
    }

    /** Returns the quantity of a duration; the base unit is the nanosecond. */
    static Quantity duration(long minNs, long maxNs) {
        return new Quantity(
                Units.DURATION_NS,
                minNs,
                maxNs,
                "a duration from "
                        + minNs / (double) Units.NS_PER_S
                        + "s to "
                        + maxNs / (double) Units.NS_PER_S
                        + "s, in ns, us, ms, s, m, h or d");
    }

    /** Returns the quantity of a size; the base unit is the byte. */
    static Quantity size(long minBytes, long maxBytes) {
        return new Quantity(
                Units.SIZE_BYTES,
                minBytes,
                maxBytes,
                "a size from "
                        + minBytes
                        + "B to "
                        + maxBytes
                        + "B, in B, KiB, MiB, GiB, kB, MB or GB");
    }

    /** Returns the quantity of a rate of at least 0; the base unit is events per second. */
    static Quantity rate(double maxPerS) {
        return new Quantity(
                Units.RATE_PER_S,
                0,
                maxPerS,
                "a rate from 0 to " + format(maxPerS) + "/s, in /s, /m or /h");
    }

    /** Returns the value in the base unit, or an empty result if the text is not accepted. */
    OptionalDouble parse(String text) {
        OptionalDouble value = Units.parse(text, units);
        boolean accepts =
                value.isPresent() && value.getAsDouble() >= min && value.getAsDouble() <= max;
        return accepts ? value : OptionalDouble.empty();
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_EXACT_INTEGER
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
