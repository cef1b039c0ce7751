package ashlink.router.frontend;

import ashlink.decisions.api.QueryClass;
import ashlink.router.core.CoreRequest;
import ashlink.sql.StatementAnalysis;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * What a query's settings tell of it: those with the prefix {@code ashlink_}, and its time limit.
 */
final class RequestHints {

    static final String KEY = "ashlink_key";
    static final String TABLES = "ashlink_tables";
    static final String WORK_MS = "ashlink_work_ms";
    static final String MEMORY_MB = "ashlink_memory_mb";
    private static final String TIME_LIMIT_S = "max_execution_time";
    private static final double MS = 1e6;
    private static final double S = 1e9;
    private static final double MOST_MS = 1e12;

    private RequestHints() {}

    /** The request that the core is given; what is told wrongly is as if it was not told. */
    static CoreRequest request(
            QueryClass queryClass,
            StatementAnalysis reading,
            Map<String, String> settings,
            String tenant,
            long marginNs) {
        double limit = number(settings.get(TIME_LIMIT_S)) * S;
        long allowed =
                (long)
                                (limit > 0
                                        ? Math.min(limit, queryClass.deadlineNs())
                                        : queryClass.deadlineNs())
                        - marginNs;
        return new CoreRequest(
                queryClass.name(),
                settings.get(KEY),
                tables(reading, settings.get(TABLES)),
                allowed,
                (long) (number(settings.get(WORK_MS)) * MS),
                number(settings.get(MEMORY_MB)),
                tenant);
    }

    /**
     * What the client says: a number as it is, or the checksum of a name; else that of the first
     * table that is written, or read where none is. Loads and readers of a table meet on the same
     * number.
     */
    private static long tables(StatementAnalysis reading, String told) {
        String text =
                told != null
                        ? told
                        : !reading.writes().isEmpty()
                                ? reading.writes().first()
                                : !reading.reads().isEmpty() ? reading.reads().first() : null;
        if (text == null) {
            return 0;
        }
        if (text.matches("[0-9]{1,15}")) {
            return Long.parseLong(text);
        }
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    private static double number(String text) {
        if (text == null) {
            return 0;
        }
        try {
            double value = Double.parseDouble(text);
            return value > 0 && value < MOST_MS ? value : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
