package ashlink.config;

import java.util.List;
import java.util.Map;

/**
 * A scripted day: a fleet, its load, and what goes wrong.
 *
 * @param httpShare of queries that come by the statement API over HTTP, from 0 to 1
 * @param settings further settings of all routers, as text
 */
public record ScenarioConfig(
        String name,
        long durationNs,
        long seed,
        List<RouterSpec> routers,
        Map<String, EngineConfig> engines,
        double ratePerS,
        double httpShare,
        List<LoadClass> load,
        List<Fault> troubles,
        String settings) {

    /** The same with another seed, share of HTTP, and more settings of all routers. */
    public ScenarioConfig with(long newSeed, double newHttpShare, String more) {
        return new ScenarioConfig(
                name,
                durationNs,
                newSeed,
                routers,
                engines,
                ratePerS,
                newHttpShare,
                load,
                troubles,
                settings + more);
    }

    /** A router of the day. */
    public record RouterSpec(String name, String zone) {}

    /**
     * Queries of one class.
     *
     * @param share of all queries
     * @param workNs of all threads, on average; drawn log-normally with that spread
     * @param retries that a client makes after a refusal, or a failure where repeating is safe
     * @param waitNs before a retry
     * @param keys that queries of the class are spread over; 0: they have none
     * @param groups of tables that they are spread over
     */
    public record LoadClass(
            String name,
            double share,
            long workNs,
            double spread,
            int threads,
            double io,
            double memoryMb,
            long timeoutNs,
            String user,
            boolean write,
            int retries,
            long waitNs,
            int keys,
            int groups) {}

    /** What can go wrong. */
    public enum FaultKind {
        /** An engine takes all and answers nothing. */
        HANG,
        /** An engine works at {@code factor} of its speed. */
        SLOW,
        /** An engine grows slower, down to {@code factor} of its speed. */
        AGE,
        /** An engine dies and comes back cold. */
        CRASH,
        /** The list says that an engine drains. */
        DRAIN,
        /** An engine does the work and loses {@code factor} of the answers. */
        LOST_ANSWERS,
        /** A router dies and comes back. */
        ROUTER_KILL,
        /** All engines of a zone die and come back cold. */
        HALL_LOST,
        /** {@code factor} times the usual load. */
        BURST,
        /** An engine closes each connection at once. */
        REFUSE,
        /** Queries of a class cost {@code factor} times the usual. */
        HEAVY_TAIL,
        /** {@code factor} of all queries go to one group of tables. */
        HOT_GROUP,
        /** {@code factor} of all queries come to one router. */
        HOT_CALLER,
        /** What the list says reaches the routers {@code factor} seconds late. */
        LIST_LATE
    }

    /** Something that goes wrong; {@code factor} is a speed, a share or a multiple of the load. */
    public record Fault(FaultKind kind, long atNs, long forNs, String target, double factor) {}
}
