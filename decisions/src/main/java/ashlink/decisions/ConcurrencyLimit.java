package ashlink.decisions;

/**
 * A limit on the threads that this router's queries occupy, on one engine or on all of them, and
 * the measurement period whose result adjusts it. The paper calls it the multiprogramming level.
 */
final class ConcurrencyLimit {

    /** Threads per core of the initial limit: some of them wait for disks. */
    static final double INITIAL_THREADS_PER_CORE = 1.5;

    /** Largest limit, as a multiple of the initial one. */
    static final double MAX_INITIAL_MULTIPLE = 2;

    int cores;

    /** Threads in use. */
    int threads;

    /** Threads that feedback added to the initial limit. */
    double adjustmentThreads;

    double lastStepThreads;
    long periodStartNs;
    int completions;
    double responseSumNs;

    /** Completions per nanosecond of the previous period. */
    double lastThroughput;

    /** Mean response time of the previous period. */
    double lastResponseNs;

    /** Whether a query found no capacity in this period. */
    boolean saturated;

    long lastRejectionNs = Nanos.NEVER;

    /** Records the end of an attempt that was served. */
    void recordCompletion(long durationNs) {
        completions++;
        responseSumNs += durationNs;
    }

    /** Starts the next period, with the results of the last one. */
    void startPeriod(double throughput, double responseNs, long nowNs) {
        lastThroughput = throughput;
        lastResponseNs = responseNs;
        completions = 0;
        responseSumNs = 0;
        periodStartNs = nowNs;
        saturated = false;
    }
}
