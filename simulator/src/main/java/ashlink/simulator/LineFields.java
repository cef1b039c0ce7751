package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.util.HashMap;
import java.util.Map;

/** Takes the name=value pairs of a line apart. */
final class LineFields {

    private LineFields() {}

    /** Reads the pairs of a line behind its first word. */
    static Fields of(String line) {
        int end = line.indexOf(' ');
        String what = end < 0 ? line : line.substring(0, end);
        Map<String, String> values = new HashMap<>();
        int start = end < 0 ? line.length() : end + 1;
        while (start < line.length()) {
            int space = line.indexOf(' ', start);
            int stop = space < 0 ? line.length() : space;
            int equals = line.indexOf('=', start);
            if (equals < 0 || equals >= stop) {
                throw new SimulatorProtocolException(
                        what + ": '" + line.substring(start, stop) + "' is no name=value pair");
            }
            values.put(line.substring(start, equals), line.substring(equals + 1, stop));
            start = stop + 1;
        }
        return Fields.of(what, values);
    }
}
