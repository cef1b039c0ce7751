package ashlink.background;

import ashlink.background.plan.Decision.Resource;

/**
 * The right of one run to use processor time and disk traffic within the budgets. Its public
 * methods are called by the thread of the run only.
 */
public final class Lease {

    /** Processor time below which a safe point doesn't call the planner. */
    private static final long MIN_CHARGE_NS = 1_000_000L;

    private final Scheduler scheduler;
    private final long run;

    /** Guarded by this; 0 while no grant is there. */
    private double granted;

    private long chargedNs = Scheduler.threadCpuNs();

    Lease(Scheduler scheduler, long run) {
        this.scheduler = scheduler;
        this.run = run;
    }

    /**
     * Waits until that many bytes may be read or written. An amount over the burst of the budget is
     * granted in parts.
     *
     * @throws InterruptedException if the run is cancelled or its time is up
     */
    public void acquireBytes(long count) throws InterruptedException {
        long remaining = count;
        while (remaining > 0) {
            remaining -= (long) scheduler.acquire(this, Resource.BYTES, remaining);
        }
    }

    /**
     * A safe point: waits until the processor time used since the last one fits the budget.
     *
     * @throws InterruptedException if the run is cancelled or its time is up
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
            throw new InterruptedException("called off");
        }
    }

    long run() {
        return run;
    }

    /** Processor time in nanoseconds that no safe point has charged. */
    long unchargedNs() {
        return Scheduler.threadCpuNs() - chargedNs;
    }

    synchronized void grant(double amount) {
        granted = amount;
        notifyAll();
    }

    synchronized double awaitGrant() throws InterruptedException {
        while (granted == 0) {
            wait();
        }
        double amount = granted;
        granted = 0;
        return amount;
    }
}
