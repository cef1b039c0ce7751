package ashlink.decisions;

import ashlink.decisions.api.Outcome;

/**
 * Ejects engines that are unreachable, unresponsive or return too many errors. The duration doubles
 * with each ejection until the engine recovers.
 */
final class OutlierDetector {

    private static final long MIN_EJECTION_NS = 500 * Nanos.PER_MS;
    private static final long MAX_EJECTION_NS = 4_000 * Nanos.PER_MS;

    /** Weight of a new result in the moving average of the error fraction. */
    private static final double ERROR_WEIGHT = 0.25;

    /** Error fraction from which an engine is ejected. */
    private static final double MAX_ERROR_FRACTION = 0.5;

    /** Progress intervals without activity after which an engine is unresponsive. */
    private static final double UNRESPONSIVE_INTERVALS = 1.6;

    /**
     * Logarithm of the number of expected durations without activity after which an engine is
     * unresponsive, if engines send no progress messages.
     */
    private static final double UNRESPONSIVE_LOG = Math.log(8);

    /** Shortest time without activity after which an engine is unresponsive. */
    private static final long MIN_UNRESPONSIVE_NS = 700 * Nanos.PER_MS;

    private final long progressIntervalNs;
    private final ResponseTimeModel responseTimes;

    /**
     * Creates a detector.
     *
     * @param progressIntervalNs interval of progress messages; 0 if there are none
     * @param responseTimes provides the mean slowness of all engines
     */
    OutlierDetector(long progressIntervalNs, ResponseTimeModel responseTimes) {
        this.progressIntervalNs = progressIntervalNs;
        this.responseTimes = responseTimes;
    }

    /** Records the outcome of an attempt on the engine. */
    void recordOutcome(EngineState engine, Outcome outcome, long nowNs) {
        switch (outcome) {
            case SERVED, ERROR -> {
                engine.lastActivityNs = nowNs;
                recordResult(engine, outcome == Outcome.ERROR, nowNs);
            }
            case REJECTED -> {
                engine.lastActivityNs = nowNs;
                engine.lastRejectionNs = nowNs;
                engine.limit.lastRejectionNs = nowNs;
            }
            case CONNECT_FAILED, RESET -> eject(engine, nowNs);
            default -> {
                // A timeout or a cancellation alone does not indicate an unhealthy engine.
            }
        }
    }

    /**
     * Records a result or an error. Errors return quickly, so that a failing engine would otherwise
     * look the least loaded and attract more queries.
     */
    private static void recordResult(EngineState engine, boolean isError, long nowNs) {
        engine.errorFraction += ERROR_WEIGHT * ((isError ? 1 : 0) - engine.errorFraction);
        if (engine.errorFraction < MAX_ERROR_FRACTION) {
            engine.ejectionNs = 0;
        } else if (isError && !engine.isEjected(nowNs)) {
            eject(engine, nowNs);
        }
    }

    private static void eject(EngineState engine, long nowNs) {
        engine.ejectionNs =
                Math.min(MAX_EJECTION_NS, Math.max(MIN_EJECTION_NS, 2 * engine.ejectionNs));
        engine.ejectedUntilNs = nowNs + engine.ejectionNs;
    }

    /**
     * Ejects the engine if it is not ejected yet and has shown no activity on a running query for
     * too long. Health check results do not count as activity, because an engine whose queries hang
     * may still answer health checks.
     *
     * @return whether this call ejected the engine
     */
    boolean ejectIfUnresponsive(EngineState engine, long nowNs) {
        if (engine.isEjected(nowNs) || !isUnresponsive(engine, nowNs)) {
            return false;
        }
        eject(engine, nowNs);
        return true;
    }

    private boolean isUnresponsive(EngineState engine, long nowNs) {
        for (QueryState query : engine.runningQueries) {
            long inactiveNs = nowNs - Math.max(query.attemptStartNs, engine.lastActivityNs);
            if (inactiveNs > Math.max(MIN_UNRESPONSIVE_NS, inactivityLimitNs(query))) {
                return true;
            }
        }
        return false;
    }

    private double inactivityLimitNs(QueryState query) {
        if (progressIntervalNs > 0) {
            return UNRESPONSIVE_INTERVALS * progressIntervalNs;
        }
        double limitLog = UNRESPONSIVE_LOG + Math.max(0, responseTimes.fleetSlownessLog());
        return query.expectedDurationNs() * Math.exp(limitLog / query.statistics.consistency());
    }
}
