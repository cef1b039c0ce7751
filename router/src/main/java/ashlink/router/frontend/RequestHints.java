package ashlink.router.frontend;

import ashlink.decisions.api.QueryClass;
import ashlink.router.core.CoreRequest;
import ashlink.sql.StatementAnalysis;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * Reads the hints that a client gives in the settings of a query: the settings with the prefix
 * {@code ashlink_}, and the time limit.
 */
final class RequestHints {

    static final String ORDERING_KEY = "ashlink_key";
    static final String TABLE_GROUP = "ashlink_tables";
    static final String WORK_MS = "ashlink_work_ms";
    static final String MEMORY_MB = "ashlink_memory_mb";
    private static final String TIME_LIMIT_S = "max_execution_time";
    private static final double NS_PER_MS = 1e6;
    private static final double NS_PER_S = 1e9;

    /** Upper bound of numeric hints; larger numbers are assumed to be mistakes and are ignored. */
    private static final double MAX_NUMBER = 1e12;

    private static final Pattern GROUP_NUMBER = Pattern.compile("[0-9]{1,15}");

    private RequestHints() {}

    /**
     * Returns the request for the core. Hints that cannot be parsed are ignored.
     *
     * @param marginNs time before the deadline of the client by which the response must be sent
     */
    static CoreRequest request(
            QueryClass queryClass,
            StatementAnalysis analysis,
            Map<String, String> settings,
            String tenant,
            long marginNs) {
        double limitNs = parsePositive(settings.get(TIME_LIMIT_S)) * NS_PER_S;
        double clientTimeoutNs =
                limitNs > 0 ? Math.min(limitNs, queryClass.deadlineNs()) : queryClass.deadlineNs();
        long timeLimitNs = (long) clientTimeoutNs - marginNs;
        return new CoreRequest(
                queryClass.name(),
                settings.get(ORDERING_KEY),
                tableGroup(analysis, settings.get(TABLE_GROUP)),
                timeLimitNs,
                (long) (parsePositive(settings.get(WORK_MS)) * NS_PER_MS),
                parsePositive(settings.get(MEMORY_MB)),
                tenant);
    }

    /**
     * Returns the number of the table group: the hint of the client, or else the first table that
     * the statement writes, or reads if it writes none. The number of a table name is its checksum,
     * so that the load of a table and the statements that read the table have the same number.
     */
    private static long tableGroup(StatementAnalysis analysis, String hint) {
        String text = hint != null ? hint : firstTable(analysis);
        if (text == null) {
            return 0;
        }
        if (GROUP_NUMBER.matcher(text).matches()) {
            return Long.parseLong(text);
        }
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /** Returns the name of the first table, or null if the statement uses none. */
    private static String firstTable(StatementAnalysis analysis) {
        if (!analysis.writes().isEmpty()) {
            return analysis.writes().first();
        }
        return analysis.reads().isEmpty() ? null : analysis.reads().first();
    }

    /** Returns the positive number in a text; 0 if the text is null or contains no valid number. */
    private static double parsePositive(String text) {
        if (text == null) {
            return 0;
        }
        try {
            double value = Double.parseDouble(text);
            return value > 0 && value < MAX_NUMBER ? value : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
