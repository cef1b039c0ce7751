package ashlink.decisions;

/**
 * Adjusts concurrency limits by feedback control: compares the throughput and the mean response
 * time of consecutive measurement periods and moves the limit in small steps, as in "How to
 * determine a good multi-programming level for external scheduling".
 */
final class ConcurrencyFeedback {

    /** Step size as a fraction of the initial limit; the step is at least one thread. */
    private static final double STEP_FRACTION = 0.25;

    /**
     * Smallest relative change of throughput or response time that is significant; 5% as in the
     * paper.
     */
    private static final double CHANGE_FRACTION = 0.05;

    /**
     * Completions that end a measurement period; the number for which the paper finds stable means.
     */
    private static final int PERIOD_COMPLETIONS = 100;

    /**
     * Time after which a period ends with fewer than {@link #PERIOD_COMPLETIONS} completions if the
     * limit is saturated.
     */
    private static final long PERIOD_NS = 2_000 * Nanos.PER_MS;

    /** Completions required to end a period by {@link #PERIOD_NS}. */
    private static final int MIN_COMPLETIONS = 10;

    private final ConcurrencyLimiter limiter;
    private final FleetLoadEstimator fleetLoad;
    private final AdmissionQueue queue;

    ConcurrencyFeedback(
            ConcurrencyLimiter limiter, FleetLoadEstimator fleetLoad, AdmissionQueue queue) {
        this.limiter = limiter;
        this.fleetLoad = fleetLoad;
        this.queue = queue;
    }

    /**
     * Adjusts the limit and starts the next measurement period if the current period is complete.
     */
    void closePeriodIfComplete(ConcurrencyLimit limit, long nowNs) {
        long lengthNs = nowNs - limit.periodStartNs;
        if (!isComplete(limit, lengthNs)) {
            return;
        }
        double throughput = limit.completions / (double) Math.max(1, lengthNs);
        double responseNs = limit.responseSumNs / limit.completions;
        adjust(limit, throughput, responseNs, nowNs);
        limit.startPeriod(throughput, responseNs, nowNs);
    }

    private static boolean isComplete(ConcurrencyLimit limit, long lengthNs) {
        return limit.completions >= PERIOD_COMPLETIONS
                || limit.saturated && lengthNs >= PERIOD_NS && limit.completions >= MIN_COMPLETIONS;
    }

    private void adjust(ConcurrencyLimit limit, double throughput, double responseNs, long nowNs) {
        double stepThreads = Math.max(1, STEP_FRACTION * limiter.initialThreads(limit));
        boolean mayDecrease = mayDecrease(limit, responseNs, stepThreads, nowNs);
        double step =
                limit.saturated
                        ? saturatedStep(limit, throughput, stepThreads, mayDecrease)
                        : unsaturatedStep(limit, throughput, stepThreads, mayDecrease);
        applyStep(limit, step);
    }

    /**
     * Returns whether the limit may decrease. It may not while queued queries miss their latency
     * objectives or after responses became slower, and not below its initial value unless an engine
     * rejected an attempt in the period.
     */
    private boolean mayDecrease(
            ConcurrencyLimit limit, double responseNs, double stepThreads, long nowNs) {
        boolean slower =
                limit.lastResponseNs > 0
                        && responseNs > limit.lastResponseNs * (1 + CHANGE_FRACTION);
        boolean isRaised = limit.adjustmentThreads >= stepThreads;
        boolean rejected = limit.lastRejectionNs >= limit.periodStartNs;
        return !slower && (isRaised || rejected) && !queue.isObjectiveMissed(nowNs);
    }

    /**
     * Returns the step of a saturated limit. A step up is followed by another step up only if the
     * throughput increased; otherwise the limit decreases, if a decrease is allowed or the fleet
     * exceeds its initial limits.
     */
    private double saturatedStep(
            ConcurrencyLimit limit, double throughput, double stepThreads, boolean mayDecrease) {
        boolean overInitialLimit = fleetLoad.isOverInitialLimit();
        boolean mayTryIncrease = !overInitialLimit && limit.lastStepThreads <= 0;
        boolean gained = throughput > limit.lastThroughput * (1 + CHANGE_FRACTION);
        if (mayTryIncrease || gained) {
            return stepThreads;
        }
        return mayDecrease || overInitialLimit ? -stepThreads : 0;
    }

    /**
     * Returns the step of an unsaturated limit. A step down that reduced the throughput is undone;
     * otherwise the limit decreases, if a decrease is allowed.
     */
    private static double unsaturatedStep(
            ConcurrencyLimit limit, double throughput, double stepThreads, boolean mayDecrease) {
        boolean lost = throughput < limit.lastThroughput * (1 - CHANGE_FRACTION);
        if (lost && limit.lastStepThreads < 0) {
            return stepThreads;
        }
        return mayDecrease ? -stepThreads : 0;
    }

    private void applyStep(ConcurrencyLimit limit, double step) {
        double initial = limiter.initialThreads(limit);
        double maxAdjustment = (ConcurrencyLimit.MAX_INITIAL_MULTIPLE - 1) * initial;
        limit.adjustmentThreads =
                Math.max(1 - initial, Math.min(maxAdjustment, limit.adjustmentThreads + step));
        limit.lastStepThreads = step;
    }
}
