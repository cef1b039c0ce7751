package ashlink.decisions;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** An engine that was listed, the load that this router put on it and what was observed of it. */
final class EngineState {

    /** Age up to which a load report or a rejection says something about the present. */
    static final long RECENT_NS = 2_000 * Nanos.PER_MS;

    /** Age from which a load report is too old to choose an engine by. */
    static final long STALE_NS = 500 * Nanos.PER_MS;

    final String name;

    /** The endpoint as it is listed; null if it is no longer listed. */
    Endpoint endpoint;

    int cores = 1;
    double memoryMb;

    /**
     * While it is warming up: time at which this router's part of its capacity covers all that was
     * sent; NaN until the first query.
     */
    double slowStartNextNs = Double.NaN;

    /** Queries with an attempt in flight on it, in the order of their start. */
    final List<QueryState> running = new ArrayList<>();

    final ArrayDeque<AbandonedAttempt> abandonedAttempts = new ArrayDeque<>();
    ConcurrencyLimit limit = new ConcurrencyLimit();

    /** Threads of the running queries and of the abandoned attempts. */
    int threads;

    /** Expected work of the running queries and of the abandoned attempts. */
    double workMs;

    /** Mean logarithm of actual over expected response times; older ones weigh less. */
    double slownessLog;

    /** Number of responses in that mean, decayed until the last of them. */
    double slownessWeight;

    long lastSlownessNs;
    long lastRejectionNs = Nanos.NEVER;
    LoadReport report = LoadReport.NONE;
    long reportNs = Nanos.NEVER;

    /** Last time at which it showed that it works on queries. */
    long lastSignNs = Nanos.NEVER;

    long lastHealthCheckNs = Nanos.NEVER;
    boolean healthCheckPending;

    /** Duration of the last ejection; 0 once it has recovered. */
    long ejectionNs;

    /** Fraction of its recent results that were errors. */
    double errorFraction;

    long ejectedUntilNs = Nanos.NEVER;

    EngineState(String name) {
        this.name = name;
    }

    /** Rule "drains kept": only a ready engine accepts new queries. */
    boolean isReady() {
        return endpoint != null && endpoint.state() == EndpointState.READY;
    }

    boolean isEjected(long nowNs) {
        return nowNs < ejectedUntilNs;
    }

    boolean hasRecentReport(long nowNs) {
        return nowNs - reportNs < RECENT_NS;
    }

    boolean hasStaleReport(long nowNs) {
        return nowNs - reportNs >= STALE_NS;
    }

    void recordReport(LoadReport loadReport, long nowNs) {
        report = loadReport;
        reportNs = nowNs;
    }

    /** Adds an attempt of the query to the load. */
    void addLoad(QueryState query) {
        threads += query.spec.threads();
        limit.threads += query.spec.threads();
        workMs += query.expectedWorkMs;
    }

    /** Removes the abandoned attempts that no longer count from the load. */
    void releaseExpired(long nowNs) {
        for (AbandonedAttempt attempt : abandonedAttempts) {
            if (nowNs >= attempt.countedUntilNs()) {
                removeLoad(attempt.query());
            }
        }
        abandonedAttempts.removeIf(attempt -> nowNs >= attempt.countedUntilNs());
    }

    private void removeLoad(QueryState query) {
        threads -= query.spec.threads();
        limit.threads -= query.spec.threads();
        workMs -= query.expectedWorkMs;
    }

    /** Drops what was observed of an earlier process of the engine. */
    void resetAfterRestart() {
        slownessWeight = 0;
        slowStartNextNs = Double.NaN;
        ejectedUntilNs = Nanos.NEVER;
        ejectionNs = 0;
        errorFraction = 0;
    }
}
