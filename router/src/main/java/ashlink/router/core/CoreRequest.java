package ashlink.router.core;

/**
 * Properties of a request that the decision module uses.
 *
 * @param queryClass name of the query class in the settings
 * @param key ordering key, or null if the query class is not ordered
 * @param tableGroup number of the table group that the request reads or writes, 0 for none
 * @param timeLimitNs time from the submission to the deadline of the client
 * @param estimatedWorkNs estimated execution time, 0 if unknown
 * @param estimatedMemoryMb estimated memory in MB, 0 if unknown
 * @param tenant name of the tenant, empty for none
 */
public record CoreRequest(
        String queryClass,
        String key,
        long tableGroup,
        long timeLimitNs,
        long estimatedWorkNs,
        double estimatedMemoryMb,
        String tenant) {}
