package ashlink.decisions.api;

import java.util.Set;

/**
 * A class of queries with a common service level.
 *
 * @param name unique name of the class
 * @param latencyObjectiveNs an answer within this time, extended by {@code objectivePerWork} times
 *     the expected response time, earns the full {@code priorityWeight}
 * @param objectivePerWork extension of the objective per nanosecond of expected response time
 * @param deadlineNs time after which the client stops waiting
 * @param retrySafety effect of a second execution
 * @param deduplicationScope engines that share idempotency keys; only for {@link
 *     RetrySafety#DEDUPLICATED}
 * @param deduplicationWindowNs time for which engines remember an idempotency key
 * @param priorityWeight value of an answer within the objective; queries with a higher weight start
 *     first
 * @param lateWeightFraction fraction of {@code priorityWeight} that a late answer earns
 * @param ordered whether queries with the same ordering key run one at a time, in order
 * @param engineKinds kinds of engine that may run the queries; empty for any
 * @param zones zones in which the queries may run; empty for any
 * @param threads number of threads that a query occupies on an engine
 * @param locksTables whether a running query locks its table group
 * @param waitsForTableLocks whether a query waits while its table group is locked
 */
public record QueryClass(
        String name,
        long latencyObjectiveNs,
        double objectivePerWork,
        long deadlineNs,
        RetrySafety retrySafety,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNs,
        double priorityWeight,
        double lateWeightFraction,
        boolean ordered,
        Set<String> engineKinds,
        Set<String> zones,
        int threads,
        boolean locksTables,
        boolean waitsForTableLocks) {

    /**
     * Returns whether the final answer to a query of the class may be a rejection.
     *
     * <p>A client may repeat a rejected query, so a rejection is allowed only if the repeat is
     * harmless. Otherwise the final answer is a failure, which leaves open whether the query was
     * executed.
     *
     * @param mayHaveRun whether an attempt of the query may have been executed
     */
    public boolean mayBeRejected(boolean mayHaveRun) {
        return !mayHaveRun
                || retrySafety == RetrySafety.IDEMPOTENT
                || retrySafety == RetrySafety.DEDUPLICATED
                        && deduplicationScope == DeduplicationScope.ALL;
    }
}
