package ashlink.decisions.api;

import java.util.Set;

/**
 * A class of queries with a common service level.
 *
 * @param name unique name in the settings
 * @param latencyObjectiveNs an answer within this time, extended by {@code objectivePerWork} times
 *     the expected response time, earns the full {@code priorityWeight}
 * @param objectivePerWork extension of the objective per nanosecond of expected response time
 * @param deadlineNs time after which the client gives up
 * @param retrySafety what a second execution does
 * @param deduplicationScope engines that share idempotency keys; only for {@link
 *     RetrySafety#DEDUPLICATED}
 * @param deduplicationWindowNs time for which engines remember an idempotency key
 * @param priorityWeight what an answer within the objective is worth; higher is released first
 * @param lateWeightFraction fraction of {@code priorityWeight} that a late answer still earns
 * @param ordered whether queries with the same ordering key run one at a time, in order
 * @param engineKinds the only kinds of engine it may run on; empty allows any
 * @param zones the only zones it may run in; empty allows any
 * @param threads threads that one query occupies on an engine
 * @param locksTables whether it locks its table group while it runs
 * @param waitsForTableLocks whether it waits while its table group is locked
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
     * Whether a client may repeat a query after it was rejected.
     *
     * <p>A final answer may only be a rejection where a repeat by the client is harmless; otherwise
     * it is a failure, which promises nothing about the query's effect.
     *
     * @param mayHaveRun whether an attempt may have been executed
     */
    public boolean mayBeRejected(boolean mayHaveRun) {
        return !mayHaveRun
                || retrySafety == RetrySafety.IDEMPOTENT
                || retrySafety == RetrySafety.DEDUPLICATED
                        && deduplicationScope == DeduplicationScope.ALL;
    }
}
