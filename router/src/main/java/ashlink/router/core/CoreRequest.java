package ashlink.router.core;

/**
 * A request as the decisions see it.
 *
 * @param key of the order that it is to keep, or null
 * @param tableGroup number of the group of tables that it reads or writes
 * @param timeLimitNs time from now until the client gives up
 * @param estimatedWorkNs estimate of its work, 0 where there is none
 * @param estimatedMemoryMb estimate of the memory that it needs, 0 where there is none
 */
public record CoreRequest(
        String queryClass,
        String key,
        long tableGroup,
        long timeLimitNs,
        long estimatedWorkNs,
        double estimatedMemoryMb,
        String tenant) {}
