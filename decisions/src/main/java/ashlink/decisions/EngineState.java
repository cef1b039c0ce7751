package ashlink.decisions;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * An engine that service discovery listed, with the load from this router and the observations made
 * of the engine.
 */
final class EngineState {

    /**
     * Age below which a load report or a rejection is recent enough to describe the current state.
     */
    static final long RECENT_NS = 2_000 * Nanos.PER_MS;

    /** Age from which a load report is too old for selecting an engine. */
    static final long STALE_NS = 500 * Nanos.PER_MS;

    final String name;

    /** The endpoint as last listed; null if the engine is no longer listed. */
    Endpoint endpoint;

    int cores = 1;
    double memoryMb;

    /**
     * Slow start budget of this router. If the budget covers at least one query per window: the
     * virtual time up to which the budget is spent. Otherwise: the randomly drawn time of the next
     * admission. NaN until the first query.
     */
    double slowStartBudgetTimeNs = Double.NaN;

    /**
     * Queries with an attempt in flight on the engine, in the order in which the attempts started.
     */
    final List<QueryState> runningQueries = new ArrayList<>();

    final ArrayDeque<AbandonedAttempt> abandonedAttempts = new ArrayDeque<>();
    ConcurrencyLimit limit = new ConcurrencyLimit();

    /** Threads of the running queries and of the abandoned attempts. */
    int threads;

    /** Expected work of the running queries and of the abandoned attempts. */
    double workMs;

    /**
     * Weighted mean of the logarithm of actual over expected response time; recent responses weigh
     * more.
     */
    double slownessLog;

    /**
     * Number of responses in {@link #slownessLog}, decayed exponentially up to {@link
     * #lastSlownessNs}.
     */
    double slownessWeight;

    long lastSlownessNs;
    long lastRejectionNs = Nanos.NEVER;
    LoadReport report = LoadReport.NONE;
    long reportNs = Nanos.NEVER;

    /** Time of the last response or progress message of an attempt on the engine. */
    long lastActivityNs = Nanos.NEVER;

    long lastHealthCheckNs = Nanos.NEVER;
    boolean healthCheckPending;

    /** Duration of the last ejection; 0 after the engine has recovered. */
    long ejectionNs;

    /** Exponentially weighted fraction of errors among the results of the engine. */
    double errorFraction;

    long ejectedUntilNs = Nanos.NEVER;

    EngineState(String name) {
        this.name = name;
    }

    /**
     * Returns whether the engine accepts new queries. Invariant "drain": an engine that is draining
     * or no longer listed gets no new attempts.
     */
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

    /** Adds an attempt of the query to the load of the engine. */
    void addLoad(QueryState query) {
        threads += query.queryClass.threads();
        limit.threads += query.queryClass.threads();
        workMs += query.expectedWorkMs;
    }

    /** Removes abandoned attempts from the load of the engine after their time has expired. */
    void releaseExpired(long nowNs) {
        for (AbandonedAttempt attempt : abandonedAttempts) {
            if (nowNs >= attempt.countedUntilNs()) {
                removeLoad(attempt.query());
            }
        }
        abandonedAttempts.removeIf(attempt -> nowNs >= attempt.countedUntilNs());
    }

    private void removeLoad(QueryState query) {
        threads -= query.queryClass.threads();
        limit.threads -= query.queryClass.threads();
        workMs -= query.expectedWorkMs;
    }

    /** Discards the observations of the previous process of the engine. */
    void resetAfterRestart() {
        slownessWeight = 0;
        slowStartBudgetTimeNs = Double.NaN;
        ejectedUntilNs = Nanos.NEVER;
        ejectionNs = 0;
        errorFraction = 0;
    }
}
