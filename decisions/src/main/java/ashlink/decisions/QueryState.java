package ashlink.decisions;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.QueryClass;
import java.util.List;

/** A query, from its submission until it is finished and has no attempt in flight. */
final class QueryState {

    final long id;
    final QueryClass queryClass;
    final QueryClassStatistics statistics;

    /** The queue for the ordering key; null for a query without order. */
    final KeyQueue keyQueue;

    final long tableGroup;

    /** Position of the query in the order of submission. */
    final long sequence;

    final long submittedNs;
    final long deadlineNs;

    /** Estimated work on one thread; the prior value of the class if the query has no estimate. */
    final double estimateMs;

    /** The estimated work, corrected by the statistics of the class. */
    final double expectedWorkMs;

    final double estimatedMemoryMb;
    final boolean hasEstimate;

    /** Priority weight of an answer within the latency objective. */
    final double initialWeight;

    /**
     * Current priority weight; lowered once the query is expected to miss its latency objective.
     */
    double weight;

    /** Whether the client has its final answer or no longer needs one. */
    boolean finished;

    /** The engine of the attempt in flight; null if there is none. */
    EngineState engine;

    /** The endpoint of the last attempt, as listed when the attempt started. */
    Endpoint lastEndpoint;

    /** Start of the last attempt. */
    long attemptStartNs;

    /**
     * Start of the last attempt, or the last time at which the attempt waited for a resource if
     * later.
     */
    long workingSinceNs;

    int attempts;

    /** Memory grant of the last attempt, in MB; 0 for none. */
    long grantMb;

    /** Total memory that the query needs according to spill reports, in MB; 0 if unknown. */
    double neededMemoryMb;

    boolean cancelRequested;
    int restarts;

    /** Candidates that were sent a health check before the selection of one of them. */
    List<EngineState> checkedCandidates = List.of();

    /** Time until which the selection waits for the results of these health checks. */
    long checkDeadlineNs;

    /** Endpoint of the first attempt that may have been executed; null if there is none. */
    Endpoint mayHaveRunOn;

    /** Start of the first attempt that may have been executed. */
    long mayHaveRunSinceNs;

    /**
     * Creates the state of a submitted query.
     *
     * @param submitted the event that submitted the query
     * @param statistics the statistics of the query class
     * @param keyQueue the queue for the ordering key; null for a query without order
     * @param sequence position of the query in the order of submission
     * @param estimateMs estimated work on one thread
     * @param weight priority weight of the query
     * @param nowNs time of the submission
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
        this.queryClass = statistics.queryClass;
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

    /** Records the start of an attempt on the engine. */
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

    /** Returns whether the attempt with the given number is in flight. */
    boolean isAttemptInFlight(int attempt) {
        return engine != null && attempt == attempts - 1;
    }

    /** Returns the expected duration of an attempt. */
    long expectedDurationNs() {
        return (long) (expectedWorkMs / queryClass.threads() * Nanos.PER_MS);
    }

    /** Returns the time until which an answer meets the latency objective. */
    long objectiveEndNs() {
        return submittedNs
                + queryClass.latencyObjectiveNs()
                + (long) (queryClass.objectivePerWork() * expectedDurationNs());
    }

    /** Returns whether an attempt that starts now is expected to miss the latency objective. */
    boolean missesObjective(long nowNs) {
        return nowNs + expectedDurationNs() >= objectiveEndNs();
    }
}
