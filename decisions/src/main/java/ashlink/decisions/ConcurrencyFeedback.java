package ashlink.decisions;

/**
 * Adjusts concurrency limits by the throughput and response time of measurement periods, in small
 * steps, as in "How to determine a good multi-programming level for external scheduling".
 */
final class ConcurrencyFeedback {

    /** Step as a fraction of the initial limit; one thread at least. */
    private static final double STEP_FRACTION = 0.25;

    /** Relative change of throughput or response time that counts (the paper's 5%). */
    private static final double CHANGE_FRACTION = 0.05;

    /** Completions that close a period; the paper's number for stable means. */
    private static final int PERIOD_COMPLETIONS = 100;

    /** Time after which a period closes with fewer completions while the limit is saturated. */
    private static final long PERIOD_NS = 2_000 * Nanos.PER_MS;

    /** Completions that such a period needs. */
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

    /** Adjusts the limit if its period is complete, and starts the next one. */
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
        double change =
                limit.saturated
                        ? saturatedStep(limit, throughput, stepThreads, mayDecrease)
                        : unsaturatedStep(limit, throughput, stepThreads, mayDecrease);
        move(limit, change);
    }

    /**
     * A limit does not fall while queued queries miss their objectives or responses got slower, nor
     * below its initial value unless an engine rejected an attempt.
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

    /** A step up is followed by another only if throughput gained; else the limit goes down. */
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

    /** A step down that cost throughput is undone; else the limit goes down. */
    private static double unsaturatedStep(
            ConcurrencyLimit limit, double throughput, double stepThreads, boolean mayDecrease) {
        boolean lost = throughput < limit.lastThroughput * (1 - CHANGE_FRACTION);
        if (lost && limit.lastStepThreads < 0) {
            return stepThreads;
        }
        return mayDecrease ? -stepThreads : 0;
    }

    private void move(ConcurrencyLimit limit, double changeThreads) {
        double initial = limiter.initialThreads(limit);
        double largest = (ConcurrencyLimit.MAX_INITIAL_MULTIPLE - 1) * initial;
        limit.adjustmentThreads =
                Math.max(1 - initial, Math.min(largest, limit.adjustmentThreads + changeThreads));
        limit.lastStepThreads = changeThreads;
    }
}
