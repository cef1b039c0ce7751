package ashlink.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Settings of a stand-in engine.
 *
 * @param speed of a core against a usual one
 * @param knee threads a core at which most work is done
 * @param thrash share of the work lost at twice the knee
 * @param spill times the work that a query without any memory does further
 * @param memoryLine true if a query waits for memory, false if it gets what is left
 * @param disks share of its threads that may read or write at once
 * @param coldFrom share of its capacity at its start
 * @param coldNs time until it is warm
 * @param fallMultiple times what it can do while cold which, sent for {@code fallNs}, makes it fall
 *     over; 0: never
 * @param heedsCancel true if a cancel or a closed connection stops the work
 * @param sessions queries that it takes at once; further ones are turned away
 * @param ledger file that each statement is noted in, or null
 */
public record EngineConfig(
        String name,
        InetSocketAddress listen,
        String zone,
        String kind,
        int cores,
        double memoryMb,
        double speed,
        double knee,
        double thrash,
        double spill,
        boolean memoryLine,
        double disks,
        double coldFrom,
        long coldNs,
        double fallMultiple,
        long fallNs,
        boolean heedsCancel,
        int sessions,
        long seed,
        Path ledger) {}
