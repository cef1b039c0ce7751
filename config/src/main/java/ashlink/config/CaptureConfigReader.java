package ashlink.config;

import static ashlink.config.Units.GIB_BYTES;
import static ashlink.config.Units.KIB_BYTES;
import static ashlink.config.Units.MIB_BYTES;
import static ashlink.config.Units.NS_PER_HOUR;
import static ashlink.config.Units.NS_PER_MS;
import static ashlink.config.Units.NS_PER_S;
import static ashlink.config.Units.TIB_BYTES;

import ashlink.config.RouterConfig.CaptureSpec;
import java.nio.file.Path;

/** Reads the settings of the capture of events and actions: {@code (capture ...)}. */
final class CaptureConfigReader {

    private static final long MIN_BYTES = 4 * KIB_BYTES;
    private static final long MAX_RETAINED_BYTES = 1024 * TIB_BYTES;
    private static final int MIN_QUEUE_ENTRIES = 16;
    private static final int MAX_QUEUE_ENTRIES = 10_000_000;

    private CaptureConfigReader() {}

    static CaptureSpec read(Section top) {
        try (Section section = top.section("capture")) {
            return new CaptureSpec(
                    section.has("dir") ? Path.of(section.text("dir", "")) : null,
                    section.sizeBytes("segment", 64 * MIB_BYTES, MIN_BYTES, GIB_BYTES),
                    section.sizeBytes("keep", 4 * GIB_BYTES, MIN_BYTES, MAX_RETAINED_BYTES),
                    (int) section.integer("queue", 65_536L, MIN_QUEUE_ENTRIES, MAX_QUEUE_ENTRIES),
                    section.durationNs("sync", NS_PER_S, NS_PER_MS, NS_PER_HOUR),
                    section.text("key-secret", ""));
        }
    }
}
