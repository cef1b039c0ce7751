package ashlink.config;

import static ashlink.config.Units.GIB_BYTES;
import static ashlink.config.Units.KIB_BYTES;
import static ashlink.config.Units.MIB_BYTES;
import static ashlink.config.Units.NS_PER_HOUR;
import static ashlink.config.Units.NS_PER_MS;
import static ashlink.config.Units.NS_PER_S;
import static ashlink.config.Units.TIB_BYTES;

import ashlink.config.RouterConfig.HttpSpec;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads the settings of the statement API over HTTP: {@code (http ...)}. */
final class HttpConfigReader {

    private static final long MAX_SPOOL_BYTES = 1024 * TIB_BYTES;

    /** Smallest accepted spool size, in pages. */
    private static final int MIN_SPOOL_PAGES = 4;

    private static final int MAX_OPEN_STATEMENTS = 1_000_000;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_TOMBSTONES = 1_000_000;
    private static final int MAX_IDEMPOTENCY_KEYS = 10_000_000;
    private static final long DAY_NS = 24 * NS_PER_HOUR;
    private static final long YEAR_NS = 365 * DAY_NS;
    private static final Pattern PEER_URL = Pattern.compile("https?://[^/ ]+");

    private HttpConfigReader() {}

    static HttpSpec read(Section top) {
        try (Section section = top.section("http")) {
            HttpSpec http = http(section);
            if (http.maxPollWaitNs() >= http.idleTimeoutNs()) {
                section.reject("idle", "a duration longer than longest-wait");
            }
            return http;
        }
    }

    private static HttpSpec http(Section section) {
        long pageBytes = section.sizeBytes("page", MIB_BYTES, KIB_BYTES, 64 * MIB_BYTES);
        long minSpoolBytes = MIN_SPOOL_PAGES * pageBytes;
        return new HttpSpec(
                section.has("listen") ? section.address("listen", null) : null,
                section.has("spool") ? Path.of(section.text("spool", "")) : null,
                pageBytes,
                section.sizeBytes("memory", 64 * KIB_BYTES, 0, GIB_BYTES),
                section.sizeBytes("memory-all", 64 * MIB_BYTES, MIB_BYTES, TIB_BYTES),
                section.sizeBytes("spool-statement", GIB_BYTES, minSpoolBytes, MAX_SPOOL_BYTES),
                section.sizeBytes("spool-user", 4 * GIB_BYTES, minSpoolBytes, MAX_SPOOL_BYTES),
                section.sizeBytes("spool-all", 16 * GIB_BYTES, minSpoolBytes, MAX_SPOOL_BYTES),
                (int) section.integer("open", 10_000L, 1, MAX_OPEN_STATEMENTS),
                (int) section.integer("open-user", 10_000L, 1, MAX_OPEN_STATEMENTS),
                section.durationNs("unpolled", 30 * NS_PER_S, NS_PER_MS, NS_PER_HOUR),
                section.durationNs("kept", 60 * NS_PER_S, NS_PER_MS, DAY_NS),
                section.durationNs("linger", 10 * NS_PER_S, 0, NS_PER_HOUR),
                (int) section.integer("tombstones", 10_000L, 0, MAX_TOMBSTONES),
                section.durationNs("tombstone-time", 300 * NS_PER_S, 0, DAY_NS),
                section.durationNs("longest-wait", 30 * NS_PER_S, 0, NS_PER_HOUR),
                section.sizeBytes("body", 16 * MIB_BYTES, KIB_BYTES, GIB_BYTES),
                (int) section.sizeBytes("headers", 8 * KIB_BYTES, KIB_BYTES, MIB_BYTES),
                (int) section.integer("connections", 10_000L, 1, MAX_CONNECTIONS),
                section.durationNs("header-time", 10 * NS_PER_S, NS_PER_MS, NS_PER_HOUR),
                section.durationNs("body-time", 30 * NS_PER_S, NS_PER_MS, NS_PER_HOUR),
                section.durationNs("idle", 60 * NS_PER_S, NS_PER_MS, NS_PER_HOUR),
                section.sizeBytes("render", 64 * MIB_BYTES, MIB_BYTES, TIB_BYTES),
                (int) section.integer("keys", 100_000L, 1, MAX_IDEMPOTENCY_KEYS),
                section.durationNs("key-time", DAY_NS, NS_PER_MS, YEAR_NS),
                peers(section));
    }

    private static Map<String, String> peers(Section section) {
        Map<String, String> peers = new LinkedHashMap<>();
        section.namedSections("peer").forEach((name, peer) -> peers.put(name, peerUrl(peer)));
        return Map.copyOf(peers);
    }

    private static String peerUrl(Section peer) {
        try (Section section = peer) {
            String url = section.text("url", null);
            if (!url.isEmpty() && !PEER_URL.matcher(url).matches()) {
                section.reject("url", "http://HOST:PORT or https://HOST:PORT without a path");
            }
            return url;
        }
    }
}
