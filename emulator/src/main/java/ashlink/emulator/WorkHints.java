package ashlink.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a statement asks of a stand-in: {@code name=value} pairs in a comment that starts with
 * {@code sim}, as in {@code /* sim work_ms=120 threads=1 rows=10 *}{@code /}.
 */
public final class WorkHints {

    private static final Pattern COMMENT = Pattern.compile("/\\*\\s*sim\\s([^*]*)\\*/");
    private final Map<String, String> values = new HashMap<>();

    /** Reads the comment of a statement, where it has one. */
    public WorkHints(String statement) {
        Matcher matcher = COMMENT.matcher(statement);
        if (matcher.find()) {
            for (String pair : matcher.group(1).trim().split("\\s+")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    values.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
        }
    }

    /** A text. */
    public String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    /** A number; one that cannot be read counts as absent. */
    public double number(String name, double absent) {
        try {
            return Double.parseDouble(values.getOrDefault(name, ""));
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    /** A whole number. */
    public long whole(String name, long absent) {
        return (long) number(name, absent);
    }
}
