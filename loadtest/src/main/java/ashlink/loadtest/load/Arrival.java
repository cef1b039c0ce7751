package ashlink.loadtest.load;

import ashlink.config.ScenarioConfig.LoadClass;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A request of the load, with all its random values.
 *
 * @param requestNumber number of the request
 * @param arrivalNs arrival time since the start of the load
 * @param loadClass class of the request
 * @param workMs work of the query, summed over its threads
 * @param timeoutFraction fraction of the class's timeout after which the client gives up
 * @param router index of the router that receives the first attempt
 * @param key ordering key, null if the request has none
 * @param tableGroup table group of the query
 * @param overHttp whether the request is sent over the HTTP statement API
 */
record Arrival(
        long requestNumber,
        long arrivalNs,
        LoadClass loadClass,
        double workMs,
        double timeoutFraction,
        int router,
        String key,
        long tableGroup,
        boolean overHttp) {

    /** Returns the settings of the query. */
    Map<String, String> settings(long timeoutNs) {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("max_execution_time", String.format(Locale.ROOT, "%.3f", timeoutNs / 1e9));
        settings.put("ashlink_work_ms", String.format(Locale.ROOT, "%.1f", workMs));
        settings.put("ashlink_memory_mb", String.format(Locale.ROOT, "%.0f", loadClass.memoryMb()));
        settings.put("ashlink_tables", Long.toString(tableGroup));
        if (key != null) {
            settings.put("ashlink_key", key);
        }
        return settings;
    }

    /** Returns the statement, with hints for the emulated engine. */
    String statementText(String tag) {
        String hints =
                String.format(
                        Locale.ROOT,
                        "/* sim tag=%s work_ms=%.1f threads=%d io=%.2f memory_mb=%.0f tables=%d"
                                + " holds=%d waits=%d%s */",
                        tag,
                        workMs,
                        loadClass.threads(),
                        loadClass.ioFraction(),
                        loadClass.memoryMb(),
                        tableGroup,
                        loadClass.write() ? 1 : 0,
                        loadClass.write() ? 0 : 1,
                        key == null ? "" : " key=" + key);
        return loadClass.write()
                ? "INSERT " + hints + " INTO readings VALUES"
                : "SELECT " + hints + " value FROM readings";
    }
}
