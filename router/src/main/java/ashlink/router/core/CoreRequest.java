package ashlink.router.core;

/**
 * A request as the decisions see it.
 *
 * @param key of the order that it is to keep, or null
 * @param tables number of the group of tables that it reads or writes
 * @param allowedNs time from now until the client gives up
 * @param workNs estimate of its work, 0 where there is none
 * @param memoryMb estimate of the memory that it needs, 0 where there is none
 */
public record CoreRequest(
        String queryClass,
        String key,
        long tables,
        long allowedNs,
        long workNs,
        double memoryMb,
        String tenant) {}
