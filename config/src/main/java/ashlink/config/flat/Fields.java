package ashlink.config.flat;

import java.util.HashMap;
import java.util.Map;

/**
 * Named text values, which are read as typed fields. Error messages contain the source, the name of
 * the field and the value.
 */
public final class Fields {

    private final String source;
    private final Map<String, String> values;

    private Fields(String source, Map<String, String> values) {
        this.source = source;
        this.values = values;
    }

    /**
     * Creates fields from a copy of a map.
     *
     * @param source name of the origin of the fields in error messages
     */
    public static Fields of(String source, Map<String, String> values) {
        return new Fields(source, new HashMap<>(values));
    }

    /** Returns the text of a field, or null if the field is missing. */
    public String text(String name) {
        return values.get(name);
    }

    /** Returns the text of a field, or {@code defaultValue} if the field is missing. */
    public String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /**
     * Returns the text of a field.
     *
     * @throws FieldException if the field is missing
     */
    public String required(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new FieldException(source + ": missing field " + name);
        }
        return value;
    }

    /**
     * Returns an integer.
     *
     * @throws FieldException if the field is missing or invalid
     */
    public long integer(String name) {
        return parseInteger(name, required(name));
    }

    /**
     * Returns an integer, or {@code defaultValue} if the field is missing.
     *
     * @throws FieldException if the value is invalid
     */
    public long integer(String name, long defaultValue) {
        String value = values.get(name);
        return value == null ? defaultValue : parseInteger(name, value);
    }

    /**
     * Returns a finite number.
     *
     * @throws FieldException if the field is missing or invalid
     */
    public double number(String name) {
        return parseNumber(name, required(name));
    }

    /**
     * Returns a finite number, or {@code defaultValue} if the field is missing.
     *
     * @throws FieldException if the value is invalid
     */
    public double number(String name, double defaultValue) {
        String value = values.get(name);
        return value == null ? defaultValue : parseNumber(name, value);
    }

    /**
     * Returns a flag, or false if the field is missing.
     *
     * @throws FieldException if the value is invalid
     */
    public boolean flag(String name) {
        String value = values.getOrDefault(name, "0");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw invalidField(name, value, "1, true, 0 or false");
        };
    }

    private long parseInteger(String name, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw invalidField(name, value, "a whole number");
        }
    }

    private double parseNumber(String name, String value) {
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalidField(name, value, "a number");
        }
        if (!Double.isFinite(number)) {
            throw invalidField(name, value, "a finite number");
        }
        return number;
    }

    private FieldException invalidField(String name, String value, String accepted) {
        return new FieldException(
                source + ": invalid field " + name + ": found " + value + ", expected " + accepted);
    }
}
