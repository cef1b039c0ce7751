package ashlink.config;

import java.util.List;
import java.util.Map;

/**
 * A load scenario: a fleet, the load on the fleet, and the faults that are injected.
 *
 * @param seed seed of the random number generators of the load and the faults
 * @param engines the emulated engines by name, in the order of the file
 * @param ratePerS queries per second of all classes
 * @param httpFraction fraction of the queries that are sent through the HTTP statement API, from 0
 *     to 1
 * @param load the load of each query class
 * @param faults the faults, in the order of the file
 * @param settings additional settings of all routers, in the syntax of settings files
 */
public record ScenarioConfig(
        String name,
        long durationNs,
        long seed,
        List<RouterSpec> routers,
        Map<String, EngineConfig> engines,
        double ratePerS,
        double httpFraction,
        List<LoadClass> load,
        List<Fault> faults,
        String settings) {

    /** Returns a copy with another seed, another HTTP fraction and additional settings. */
    public ScenarioConfig with(long newSeed, double newHttpFraction, String additionalSettings) {
        return new ScenarioConfig(
                name,
                durationNs,
                newSeed,
                routers,
                engines,
                ratePerS,
                newHttpFraction,
                load,
                faults,
                settings + additionalSettings);
    }

    /** A router of the scenario. */
    public record RouterSpec(String name, String zone) {}

    /**
     * The load of one query class.
     *
     * @param fraction fraction of all queries
     * @param workNs mean work of a query, summed over all threads of the query; the work is
     *     log-normally distributed
     * @param spread standard deviation of the logarithm of the work
     * @param threads number of threads of a query
     * @param ioFraction fraction of the work that is I/O
     * @param memoryMb memory that a query needs, in MiB
     * @param timeoutNs time after which the client stops waiting for the response
     * @param user user who sends the queries
     * @param write whether the queries are inserts
     * @param retries maximum number of retries by a client; the client retries after a rejection,
     *     and after a failure if repeating the query is safe
     * @param retryDelayNs delay of the client before a retry
     * @param keys number of ordering keys over which the queries are distributed; 0 for queries
     *     without ordering key
     * @param tableGroups number of table groups over which the queries are distributed
     */
    public record LoadClass(
            String name,
            double fraction,
            long workNs,
            double spread,
            int threads,
            double ioFraction,
            double memoryMb,
            long timeoutNs,
            String user,
            boolean write,
            int retries,
            long retryDelayNs,
            int keys,
            int tableGroups) {}

    /** Kinds of injected faults. */
    public enum FaultKind {
        /** An engine accepts queries and never responds. */
        HANG,
        /** An engine runs at {@code factor} of its speed. */
        SLOW,
        /** The speed of an engine falls gradually to {@code factor}. */
        DEGRADATION,
        /** An engine crashes and restarts with slow start. */
        CRASH,
        /** The endpoint list marks an engine as draining. */
        DRAIN,
        /** An engine executes its queries and drops {@code factor} of the responses. */
        LOST_RESPONSES,
        /** A router crashes and restarts. */
        ROUTER_CRASH,
        /** All engines of a zone crash and restart with slow start. */
        ZONE_OUTAGE,
        /** The load is multiplied by {@code factor}. */
        BURST,
        /** An engine closes each connection immediately. */
        CONNECTION_REFUSED,
        /** The work of a class is multiplied by {@code factor}. */
        HEAVY_TAIL,
        /** The fraction {@code factor} of all queries uses one table group. */
        HOT_TABLE_GROUP,
        /** The fraction {@code factor} of all queries is sent to one router. */
        HOT_ROUTER,
        /** Routers receive endpoint updates {@code factor} seconds late. */
        ENDPOINT_UPDATE_DELAY
    }

    /**
     * An injected fault.
     *
     * @param startNs time between the start of the scenario and the start of the fault
     * @param target engine, router, zone or class that the fault affects; empty for a kind that
     *     needs no target
     * @param factor strength of the fault; {@link FaultKind} describes the meaning for each kind
     */
    public record Fault(
            FaultKind kind, long startNs, long durationNs, String target, double factor) {}
}
