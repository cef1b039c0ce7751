package ashlink.config;

import static ashlink.config.Units.NS_PER_HOUR;
import static ashlink.config.Units.NS_PER_MS;
import static ashlink.config.Units.NS_PER_S;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.PolicyLimits;

/**
 * Reads the capabilities that the decision module may use, {@code (allowed ...)}, and the limits
 * that apply to its decisions, {@code (limits ...)}.
 */
final class PolicyReader {

    private static final int MAX_ATTEMPTS = 100;
    private static final double MAX_FREE_RETRIES = 1e6;
    private static final double MAX_RETRIES_PER_QUERY = 100;
    private static final double MAX_OVERLOAD_FACTOR = 100;

    /** The endpoint list is sent to the decision module, which never has to request it. */
    private static final boolean ENDPOINTS_MUST_BE_WATCHED = false;

    private PolicyReader() {}

    static Capabilities capabilities(Section top) {
        try (Section section = top.section("allowed")) {
            return new Capabilities(
                    section.flag("probes", true),
                    section.flag("cancels", true),
                    (int) section.integer("attempts", 3L, 1, MAX_ATTEMPTS),
                    section.durationNs("longest-retry-after", 500 * NS_PER_MS, 0, NS_PER_HOUR),
                    section.flag("grants", false),
                    section.flag("priorities", false),
                    section.number("largest-grant", 1.0, 0, 1),
                    section.flag("memory-queues", true),
                    section.durationNs("note-every", 0L, 0, NS_PER_HOUR),
                    section.flag("cost-in-answers", false),
                    section.flag("reports-inline", true),
                    ENDPOINTS_MUST_BE_WATCHED);
        }
    }

    static PolicyLimits policyLimits(Section top) {
        try (Section section = top.section("limits")) {
            return new PolicyLimits(
                    section.durationNs("drain-grace", 2 * NS_PER_S, 0, NS_PER_HOUR),
                    section.number("cold-from", 0.0, 0, 1),
                    section.durationNs("cold-time", 0L, 0, NS_PER_HOUR),
                    section.number("cold-multiple", 0.0, 0, MAX_OVERLOAD_FACTOR),
                    section.durationNs("cold-window", 0L, 0, NS_PER_HOUR),
                    section.durationNs("key-rest", 0L, 0, NS_PER_HOUR),
                    section.number("free-resends", 0.0, 0, MAX_FREE_RETRIES),
                    section.number("resends-per-request", 0.0, 0, MAX_RETRIES_PER_QUERY),
                    section.durationNs("resend-span", 0L, 0, NS_PER_HOUR));
        }
    }
}
