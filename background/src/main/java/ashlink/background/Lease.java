package ashlink.background;

import ashlink.background.plan.Decision.Resource;

/**
 * Grants processor time and disk traffic to one run within the budgets of the scheduler. Only the
 * thread of the run may call the public methods.
 */
public final class Lease {

    /** Processor time below which {@link #checkpoint} doesn't call the planner. */
    private static final long MIN_CHARGE_NS = 1_000_000L;

    private final Scheduler scheduler;
    private final long runId;

    /** Granted amount that the run has not taken yet; 0 for none. Guarded by this. */
    private double grantedAmount;

    private long chargedNs = Scheduler.threadCpuNs();

    Lease(Scheduler scheduler, long runId) {
        this.scheduler = scheduler;
        this.runId = runId;
    }

    /**
     * Waits until the run may read or write this number of bytes. An amount above the burst size of
     * the budget is granted in parts.
     *
     * @throws InterruptedException if the run is cancelled or exceeds its time limit
     */
    public void acquireBytes(long count) throws InterruptedException {
        long remaining = count;
        while (remaining > 0) {
            remaining -= (long) scheduler.acquire(this, Resource.BYTES, remaining);
        }
    }

    /**
     * Charges the processor time used since the last checkpoint, and waits until the budget covers
     * that time.
     *
     * @throws InterruptedException if the run is cancelled or exceeds its time limit
     */
    public void checkpoint() throws InterruptedException {
        long usedNs = unchargedNs();
        if (usedNs >= MIN_CHARGE_NS) {
            chargedNs += usedNs;
            double remainingNs = usedNs;
            while (remainingNs > 0) {
                remainingNs -= scheduler.acquire(this, Resource.CPU, remainingNs);
            }
        }
        if (Thread.interrupted()) {
            throw new InterruptedException("background run interrupted");
        }
    }

    long runId() {
        return runId;
    }

    /** Returns the processor time in nanoseconds that no checkpoint has charged yet. */
    long unchargedNs() {
        return Scheduler.threadCpuNs() - chargedNs;
    }

    synchronized void grant(double amount) {
        grantedAmount = amount;
        notifyAll();
    }

    synchronized double awaitGrant() throws InterruptedException {
        while (grantedAmount == 0) {
            wait();
        }
        double amount = grantedAmount;
        grantedAmount = 0;
        return amount;
    }
}
