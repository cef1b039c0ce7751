package ashlink.config.flat;

import java.util.HashMap;
import java.util.Map;

/** Names and values, read by exact type; {@code what} names their source in complaints. */
public final class Fields {

    private final String what;
    private final Map<String, String> values = new HashMap<>();

    private Fields(String what) {
        this.what = what;
    }

    /** Fields of that map; {@code what} names where they came from. */
    public static Fields of(String what, Map<String, String> values) {
        Fields fields = new Fields(what);
        fields.values.putAll(values);
        return fields;
    }

    /** The text of a field, or null where it is absent. */
    public String text(String name) {
        return values.get(name);
    }

    /** The text of a field, or {@code absent}. */
    public String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    /** The text of a field that must be there. */
    public String needed(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new FieldException(what + ": " + name + " is missing");
        }
        return value;
    }

    /** A whole number that must be there. */
    public long whole(String name) {
        return parseWhole(name, needed(name));
    }

    /** A whole number, or {@code absent}. */
    public long whole(String name, long absent) {
        String value = values.get(name);
        return value == null ? absent : parseWhole(name, value);
    }

    /** A finite number that must be there. */
    public double number(String name) {
        return parseNumber(name, needed(name));
    }

    /** A finite number, or {@code absent}. */
    public double number(String name, double absent) {
        String value = values.get(name);
        return value == null ? absent : parseNumber(name, value);
    }

    /** Yes or no; no where it is absent. */
    public boolean flag(String name) {
        String value = values.getOrDefault(name, "0");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw bad(name, value, "a yes or no");
        };
    }

    private long parseWhole(String name, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw bad(name, value, "a whole number");
        }
    }

    private double parseNumber(String name, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw bad(name, value, "a number");
        }
        throw bad(name, value, "a finite number");
    }

    private FieldException bad(String name, String value, String wanted) {
        return new FieldException(what + ": " + name + "=" + value + " is not " + wanted);
    }
}
