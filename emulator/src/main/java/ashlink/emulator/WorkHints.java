package ashlink.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Instructions of a statement to an emulated engine: {@code name=value} pairs in a SQL comment that
 * starts with {@code sim}, as in {@code /* sim work_ms=120 threads=1 rows=10 *}{@code /}.
 */
public final class WorkHints {

    private static final Pattern COMMENT = Pattern.compile("/\\*\\s*sim\\s([^*]*)\\*/");
    private final Map<String, String> values = new HashMap<>();

    /**
     * Reads the instructions from the first {@code sim} comment of a statement, if there is one.
     */
    public WorkHints(String statement) {
        Matcher matcher = COMMENT.matcher(statement);
        if (matcher.find()) {
            for (String pair : matcher.group(1).trim().split("\\s+")) {
                int separator = pair.indexOf('=');
                if (separator > 0) {
                    values.put(pair.substring(0, separator), pair.substring(separator + 1));
                }
            }
        }
    }

    /** Returns a value as text, or the default value if it is absent. */
    public String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns a value as a number, or the default value if it is absent or not a number. */
    public double number(String name, double defaultValue) {
        try {
            return Double.parseDouble(values.getOrDefault(name, ""));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns a value as an integer, or the default value if it is absent or not a number. */
    public long integer(String name, long defaultValue) {
        return (long) number(name, defaultValue);
    }
}
