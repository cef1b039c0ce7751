package ashlink.router.core;

/**
 * A request as the decision module sees it.
 *
 * @param queryClass name of its class in the settings
 * @param key ordering key, or null where its class is not ordered
 * @param tableGroup number of the table group that it reads or writes, 0 for none
 * @param timeLimitNs time from submission until the client gives up
 * @param estimatedWorkNs estimate of its execution time, 0 where there is none
 * @param estimatedMemoryMb estimate of the memory that it needs, 0 where there is none
 * @param tenant name of the tenant, empty where there is none
 */
public record CoreRequest(
        String queryClass,
        String key,
        long tableGroup,
        long timeLimitNs,
        long estimatedWorkNs,
        double estimatedMemoryMb,
        String tenant) {}
