package ashlink.decisions;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.QueryClass;
import java.util.List;

/** A query from its submission until it is finished and none of its attempts is in flight. */
final class QueryState {

    final long id;
    final QueryClass spec;
    final QueryClassStatistics statistics;

    /** The queue of its ordering key; null without one. */
    final KeyQueue keyQueue;

    final long tableGroup;

    /** Position in the order of submission. */
    final long sequence;

    final long submittedNs;
    final long deadlineNs;

    /** Work on one thread as it was estimated, or the prior of the class. */
    final double estimateMs;

    /** The estimate, corrected by the statistics of the class. */
    final double expectedWorkMs;

    final double estimatedMemoryMb;
    final boolean hasEstimate;

    /** Priority weight of an answer within the latency objective. */
    final double initialWeight;

    /** Priority weight that an answer may still earn. */
    double weight;

    /** Whether the client has its final answer or needs none any more. */
    boolean finished;

    /** The engine of the attempt in flight; null if there is none. */
    EngineState engine;

    /** The endpoint of the last attempt, as it was when the attempt started. */
    Endpoint lastEndpoint;

    /** Start of the last attempt. */
    long attemptStartNs;

    /** Start of the last attempt, or the last time at which it waited for a resource. */
    long workingSinceNs;

    int attempts;

    /** Memory grant of the last attempt; 0 for none. */
    long grantMb;

    /** Memory that it needs, from a report of a spill; 0 if unknown. */
    double neededMemoryMb;

    boolean cancelRequested;
    int restarts;

    /** Candidates that were sent a health check before the choice between them. */
    List<EngineState> checkedCandidates = List.of();

    /** Time until which the choice waits for the results of those health checks. */
    long checkDeadlineNs;

    /** Endpoint of the first attempt that may have been executed; null if there is none. */
    Endpoint mayHaveRunOn;

    /** Start of that attempt. */
    long mayHaveRunSinceNs;

    /**
     * A query at its submission.
     *
     * @param submitted the event that submitted it
     * @param statistics the statistics of its class
     * @param keyQueue the queue of its ordering key; null without one
     * @param sequence its position in the order of submission
     * @param estimateMs estimate of its work on one thread
     * @param weight its priority weight
     * @param nowNs the time of its submission
     */
    QueryState(
            QuerySubmitted submitted,
            QueryClassStatistics statistics,
            KeyQueue keyQueue,
            long sequence,
            double estimateMs,
            double weight,
            long nowNs) {
        this.id = submitted.id();
        this.spec = statistics.spec;
        this.statistics = statistics;
        this.keyQueue = keyQueue;
        this.tableGroup = submitted.tableGroup();
        this.sequence = sequence;
        this.submittedNs = nowNs;
        this.deadlineNs = submitted.deadlineNs();
        this.estimateMs = estimateMs;
        this.expectedWorkMs = statistics.correctedMs(estimateMs);
        this.estimatedMemoryMb = submitted.estimatedMemoryMb();
        this.hasEstimate = submitted.estimatedWorkNs() > 0;
        this.initialWeight = weight;
        this.weight = weight;
    }

    /** Records that an attempt starts on the engine. */
    void startAttempt(EngineState target, long nowNs) {
        engine = target;
        lastEndpoint = target.endpoint;
        attemptStartNs = nowNs;
        workingSinceNs = nowNs;
        attempts++;
        cancelRequested = false;
    }

    boolean isInFlight() {
        return engine != null;
    }

    /** Whether the attempt of that number is the one in flight. */
    boolean isAttemptInFlight(int attempt) {
        return engine != null && attempt == attempts - 1;
    }

    /** Returns the time that an attempt is expected to take. */
    long expectedDurationNs() {
        return (long) (expectedWorkMs / spec.threads() * Nanos.PER_MS);
    }

    /** Returns the time until which an answer meets the latency objective. */
    long objectiveEndNs() {
        return submittedNs
                + spec.latencyObjectiveNs()
                + (long) (spec.objectivePerWork() * expectedDurationNs());
    }

    /** Whether an attempt that starts now is expected to miss the latency objective. */
    boolean missesObjective(long nowNs) {
        return nowNs + expectedDurationNs() >= objectiveEndNs();
    }
}
