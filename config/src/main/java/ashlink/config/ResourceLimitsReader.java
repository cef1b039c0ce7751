package ashlink.config;

import static ashlink.config.Units.GIB_BYTES;
import static ashlink.config.Units.KIB_BYTES;
import static ashlink.config.Units.MIB_BYTES;
import static ashlink.config.Units.NS_PER_HOUR;
import static ashlink.config.Units.NS_PER_MS;
import static ashlink.config.Units.NS_PER_S;
import static ashlink.config.Units.TIB_BYTES;

import ashlink.config.RouterConfig.ResourceLimits;

/** Reads the limits of memory, counts and time of a router: {@code (bounds ...)}. */
final class ResourceLimitsReader {

    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_OPEN_REQUESTS = 1_000_000;
    private static final int MAX_ENGINE_CONNECTIONS = 100_000;
    private static final int MIN_QUEUE_EVENTS = 16;
    private static final int MAX_QUEUE_EVENTS = 10_000_000;
    private static final long MAX_ENGINE_IDLE_NS = 24 * NS_PER_HOUR;
    private static final long MAX_CLIENT_IDLE_NS = 240 * NS_PER_HOUR;

    /**
     * Largest accepted packet size. A packet is stored in one array, whose length is an int; the
     * allocation fails for some lengths just below 2 GiB too.
     */
    private static final long MAX_PACKET_BYTES = 2 * GIB_BYTES - 64;

    private ResourceLimitsReader() {}

    static ResourceLimits read(Section top) {
        try (Section section = top.section("bounds")) {
            return new ResourceLimits(
                    (int) section.integer("connections", 20_000L, 1, MAX_CONNECTIONS),
                    (int) section.integer("open-requests", 10_000L, 1, MAX_OPEN_REQUESTS),
                    (int) section.integer("queue", 65_536L, MIN_QUEUE_EVENTS, MAX_QUEUE_EVENTS),
                    section.sizeBytes("held-answer", MIB_BYTES, 0, GIB_BYTES),
                    section.sizeBytes("held-answers", 256 * MIB_BYTES, 0, TIB_BYTES),
                    section.sizeBytes("held-insert", 64 * MIB_BYTES, 0, GIB_BYTES),
                    section.sizeBytes("held-inserts", 512 * MIB_BYTES, 0, TIB_BYTES),
                    section.sizeBytes("packet", 256 * MIB_BYTES, KIB_BYTES, MAX_PACKET_BYTES),
                    section.durationNs("login", 5 * NS_PER_S, NS_PER_MS, NS_PER_HOUR),
                    section.durationNs("connect", 250 * NS_PER_MS, NS_PER_MS, NS_PER_HOUR),
                    section.durationNs("idle-engine", 15 * NS_PER_S, NS_PER_MS, MAX_ENGINE_IDLE_NS),
                    section.durationNs("idle-client", NS_PER_HOUR, NS_PER_MS, MAX_CLIENT_IDLE_NS),
                    (int) section.integer("engine-connections", 256L, 1, MAX_ENGINE_CONNECTIONS),
                    section.durationNs("stop", 10 * NS_PER_S, 0, NS_PER_HOUR),
                    section.sizeBytes("stack", 512 * KIB_BYTES, 64 * KIB_BYTES, 64 * MIB_BYTES),
                    section.durationNs("answer-margin", 50 * NS_PER_MS, 0, NS_PER_HOUR));
        }
    }
}
