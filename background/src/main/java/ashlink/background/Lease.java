package ashlink.background;

import ashlink.background.plan.Decision.Resource;

/** What a run may use. Its methods are called by the run's own thread. */
public final class Lease {

    /**
     * A run that asks at each step of its work asks the planner only once in this much processor
     * time.
     */
    private static final long SLICE_NS = 1_000_000L;

    private final Scheduler scheduler;
    private final long run;
    private double granted;
    private long chargedNs = Scheduler.threadCpuNs();

    Lease(Scheduler scheduler, long run) {
        this.scheduler = scheduler;
        this.run = run;
    }

    /**
     * Waits until so many bytes may be moved; more than the budget gives at once comes in parts.
     */
    public void bytes(long count) throws InterruptedException {
        long left = count;
        while (left > 0) {
            left -= (long) scheduler.await(this, Resource.BYTES, left);
        }
    }

    /** A safe point: waits until the processor time used since the last one is paid for. */
    public void checkpoint() throws InterruptedException {
        long used = Scheduler.threadCpuNs() - chargedNs;
        if (used >= SLICE_NS) {
            chargedNs += used;
            double left = used;
            while (left > 0) {
                left -= scheduler.await(this, Resource.CPU, left);
            }
        }
        if (Thread.interrupted()) {
            throw new InterruptedException("called off");
        }
    }

    long run() {
        return run;
    }

    /** Processor time that no safe point has paid for. */
    long unpaidNs() {
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
