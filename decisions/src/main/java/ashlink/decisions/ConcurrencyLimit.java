package ashlink.decisions;

/**
 * A limit on the number of threads that queries of this router occupy, on one engine or on all
 * engines, with the measurement period by which the limit is adjusted. The paper cited in {@link
 * ConcurrencyFeedback} calls such a limit the multiprogramming level.
 */
final class ConcurrencyLimit {

    /** Threads per core of the initial limit; more than 1 because some threads wait for disks. */
    static final double INITIAL_THREADS_PER_CORE = 1.5;

    /** Largest limit, as a multiple of the initial limit. */
    static final double MAX_INITIAL_MULTIPLE = 2;

    int cores;

    /** Threads in use. */
    int threads;

    /** Threads that feedback has added to the initial limit; negative if the limit was lowered. */
    double adjustmentThreads;

    double lastStepThreads;
    long periodStartNs;
    int completions;
    double responseSumNs;

    /** Throughput of the previous period, in completions per nanosecond. */
    double lastThroughput;

    /** Mean response time of the previous period. */
    double lastResponseNs;

    /** Whether a query was refused capacity in the current period. */
    boolean saturated;

    long lastRejectionNs = Nanos.NEVER;

    /** Records the completion of a served attempt. */
    void recordCompletion(long durationNs) {
        completions++;
        responseSumNs += durationNs;
    }

    /** Starts the next period and stores the results of the previous period. */
    void startPeriod(double throughput, double responseNs, long nowNs) {
        lastThroughput = throughput;
        lastResponseNs = responseNs;
        completions = 0;
        responseSumNs = 0;
        periodStartNs = nowNs;
        saturated = false;
    }
}
