package ashlink.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Settings of an emulated engine.
 *
 * @param listen address to listen on; port 0 stands for any free port
 * @param zone failure domain that the engine runs in; may be empty
 * @param kind name of the engine's hardware; may be empty
 * @param speed speed of a core relative to a reference core, whose speed is 1
 * @param kneeThreadsPerCore threads per core beyond which throughput decreases
 * @param thrash fraction of the throughput that is lost at twice {@code kneeThreadsPerCore}
 * @param spill additional work of a query that is granted no memory, as a multiple of the query's
 *     work
 * @param memoryQueue whether a query waits until enough memory is free; otherwise the query runs
 *     with the memory that is free
 * @param diskThreadFraction number of threads that can perform I/O at once without slowing each
 *     other down, as a fraction of the cores
 * @param slowStartFraction fraction of the capacity that is available right after a start
 * @param slowStartNs time after a start until the full capacity is available
 * @param crashLoadMultiple load, as a multiple of the capacity during slow start, above which the
 *     engine crashes if the load lasts for {@code crashWindowNs}; 0 disables such crashes
 * @param crashWindowNs time for which the load must last to crash the engine
 * @param stopsOnCancel whether a cancellation or a closed connection stops the work of a query
 * @param maxSessions maximum number of concurrent queries; the engine rejects further queries
 * @param seed seed of the random number generator
 * @param ledger file that records each statement, or null
 */
public record EngineConfig(
        String name,
        InetSocketAddress listen,
        String zone,
        String kind,
        int cores,
        double memoryMb,
        double speed,
        double kneeThreadsPerCore,
        double thrash,
        double spill,
        boolean memoryQueue,
        double diskThreadFraction,
        double slowStartFraction,
        long slowStartNs,
        double crashLoadMultiple,
        long crashWindowNs,
        boolean stopsOnCancel,
        int maxSessions,
        long seed,
        Path ledger) {}
