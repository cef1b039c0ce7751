package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.util.HashMap;
import java.util.Map;

/** Splits a line of the simulator protocol into the line name and {@code name=value} fields. */
final class LineFields {

    private static final char FIELD_SEPARATOR = ' ';
    private static final char VALUE_SEPARATOR = '=';

    private LineFields() {}

    /** Returns the name of a line, which is its first word. */
    static String name(String line) {
        int end = line.indexOf(FIELD_SEPARATOR);
        return end < 0 ? line : line.substring(0, end);
    }

    /**
     * Returns the fields of a line. Error texts give the line name as the source of the fields.
     *
     * @throws SimulatorProtocolException if a word after the line name is not a field
     */
    static Fields of(String line) {
        String name = name(line);
        Map<String, String> values = new HashMap<>();
        int start = name.length() + 1;
        while (start < line.length()) {
            int separator = line.indexOf(FIELD_SEPARATOR, start);
            int end = separator < 0 ? line.length() : separator;
            int equals = line.indexOf(VALUE_SEPARATOR, start);
            if (equals < 0 || equals >= end) {
                throw new SimulatorProtocolException(
                        name
                                + ": invalid field '"
                                + line.substring(start, end)
                                + "': expected name=value");
            }
            values.put(line.substring(start, equals), line.substring(equals + 1, end));
            start = end + 1;
        }
        return Fields.of(name, values);
    }
}
