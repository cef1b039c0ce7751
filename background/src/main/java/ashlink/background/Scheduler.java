package ashlink.background;

import ashlink.background.plan.Decision;
import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Evict;
import ashlink.background.plan.Decision.Grant;
import ashlink.background.plan.Decision.Interrupt;
import ashlink.background.plan.Decision.Resource;
import ashlink.background.plan.Decision.Start;
import ashlink.background.plan.Limits;
import ashlink.background.plan.Planner;
import ashlink.background.plan.TaskSpec;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs background tasks as a {@link Planner} decides: one thread calls the planner, and each run
 * has a thread of its own.
 *
 * <p>Thread-safe. All threads are daemon threads.
 */
public final class Scheduler {

    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long DECISION_INTERVAL_NS = 100_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long STACK_BYTES = 256 << 10;

    private static final long STOP_POLL_MS = 10;

    /** The thread of a run; {@code lease} is null until the thread has started. */
    private record ActiveRun(Thread thread, Lease lease) {}

    private final String name;

    /** Guarded by this. */
    private final Planner planner;

    private final DoubleSupplier pressure;

    /** Work by task name. Guarded by this. */
    private final Map<String, BackgroundWork> workByTask = new HashMap<>();

    /** Runs in progress by run ID. Guarded by this. */
    private final Map<Long, ActiveRun> activeRuns = new HashMap<>();

    private final Thread plannerThread;
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong abandoned = new AtomicLong();
    private final AtomicLong evicted = new AtomicLong();
    private final AtomicLong ended = new AtomicLong();

    /** True if an event arrived after the planner last decided. Guarded by this. */
    private boolean eventPending;

    /** Guarded by this. */
    private boolean killed;

    /**
     * Creates a scheduler and starts its planner thread.
     *
     * @param name prefix of the thread names
     * @param seed seed of the random jitter of periodic tasks
     * @param pressure supplies the load pressure on the service, from 0 to 1; the planner thread
     *     calls it without a lock, at least ten times a second
     */
    public Scheduler(String name, Limits limits, long seed, DoubleSupplier pressure) {
        this.name = name;
        this.planner = new Planner(limits, seed);
        this.pressure = pressure;
        this.plannerThread = new Thread(null, this::runPlanner, name + "-background", STACK_BYTES);
        plannerThread.setDaemon(true);
        plannerThread.start();
    }

    static long threadCpuNs() {
        return THREADS.isCurrentThreadCpuTimeSupported() ? THREADS.getCurrentThreadCpuTime() : 0;
    }

    // ---- Tasks
    /**
     * Adds a task. May evict a queued task of lower priority.
     *
     * @return false if the name is in use, the scheduler is stopping, or the queue is full of tasks
     *     of the same or a higher priority
     */
    public synchronized boolean add(TaskSpec spec, BackgroundWork work) {
        List<Decision> decisions = new ArrayList<>();
        boolean added = planner.add(spec, System.nanoTime(), decisions);
        if (added) {
            workByTask.put(spec.name(), work);
        }
        perform(decisions);
        notifyPlanner();
        return added;
    }

    /** Removes a task and interrupts its run; ignores an unknown name. */
    public synchronized void cancel(String task) {
        List<Decision> decisions = new ArrayList<>();
        planner.cancel(task, System.nanoTime(), decisions);
        perform(decisions);
        notifyPlanner();
    }

    /**
     * Stops the scheduler: accepts no more tasks, waits up to the limit for the runs in progress
     * and the final runs, and interrupts the runs that have not ended by then.
     *
     * @return true if all runs ended, false if the scheduler left a run behind
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    public boolean stop(long limitNs) throws InterruptedException {
        synchronized (this) {
            List<Decision> decisions = new ArrayList<>();
            planner.stop(System.nanoTime(), limitNs, decisions);
            perform(decisions);
            notifyPlanner();
            while (!planner.isStopped() && !killed) {
                wait(STOP_POLL_MS);
            }
            boolean allEnded = activeRuns.isEmpty();
            kill();
            return allEnded;
        }
    }

    /** Interrupts all threads immediately, without waiting and without final runs. */
    public synchronized void kill() {
        killed = true;
        plannerThread.interrupt();
        activeRuns.values().forEach(run -> run.thread.interrupt());
    }

    // ---- Counters
    /** Returns the number of runs that ended, whether or not they succeeded. */
    public long ended() {
        return ended.get();
    }

    /** Returns the number of runs that failed with an exception other than an interrupt. */
    public long failed() {
        return failed.get();
    }

    /** Returns the number of runs that were abandoned because they ignored an interrupt. */
    public long abandoned() {
        return abandoned.get();
    }

    /** Returns the number of queued tasks evicted by a task of higher priority or by the stop. */
    public long evicted() {
        return evicted.get();
    }

    /** Returns the number of tasks that are due and wait for a slot. */
    public synchronized int waiting() {
        return planner.waiting();
    }

    // ---- Planner thread
    private synchronized void notifyPlanner() {
        eventPending = true;
        notifyAll();
    }

    private void runPlanner() {
        try {
            while (true) {
                double currentPressure = pressure.getAsDouble();
                synchronized (this) {
                    if (killed) {
                        return;
                    }
                    eventPending = false;
                    planner.setPressure(currentPressure, System.nanoTime());
                    perform(planner.decide(System.nanoTime()));
                    long waitNs = planner.waitNs(System.nanoTime(), DECISION_INTERVAL_NS);
                    if (!eventPending && waitNs > 0) {
                        wait(waitNs / NANOS_PER_MILLI, (int) (waitNs % NANOS_PER_MILLI));
                    }
                }
            }
        } catch (InterruptedException e) {
            LOG.debug("background scheduler stopped name={}", name);
        }
    }

    private void perform(List<Decision> decisions) {
        for (Decision decision : decisions) {
            if (decision instanceof Start start) {
                startRun(start);
            } else if (decision instanceof Grant grant && activeRuns.containsKey(grant.run())) {
                activeRuns.get(grant.run()).lease.grant(grant.amount());
            } else if (decision instanceof Interrupt interrupt
                    && activeRuns.containsKey(interrupt.run())) {
                activeRuns.get(interrupt.run()).thread.interrupt();
            } else if (decision instanceof Abandon abandon) {
                abandoned.incrementAndGet();
                LOG.warn(
                        "background run ignored its interrupt and was abandoned; its task starts"
                                + " again only after this run ends run={}",
                        abandon.run());
            } else if (decision instanceof Evict evict) {
                evicted.incrementAndGet();
                workByTask.remove(evict.task());
                LOG.info("background task evicted task={}", evict.task());
            }
        }
    }

    private void startRun(Start start) {
        BackgroundWork work = workByTask.get(start.task());
        Thread thread =
                new Thread(
                        null,
                        () -> executeRun(start, work),
                        name + "-" + start.task(),
                        STACK_BYTES);
        thread.setDaemon(true);
        activeRuns.put(start.run(), new ActiveRun(thread, null));
        thread.start();
    }

    private void executeRun(Start start, BackgroundWork work) {
        Lease lease = new Lease(this, start.run());
        synchronized (this) {
            activeRuns.put(start.run(), new ActiveRun(Thread.currentThread(), lease));
        }
        boolean succeeded = false;
        try {
            work.run(lease);
            succeeded = true;
        } catch (InterruptedException e) {
            LOG.info("background task interrupted task={}", start.task());
        } catch (Exception | Error e) {
            failed.incrementAndGet();
            LOG.warn("background task failed task={} error=\"{}\"", start.task(), e.toString());
        } finally {
            ended.incrementAndGet();
            synchronized (this) {
                activeRuns.remove(start.run());
                planner.charge(Resource.CPU, lease.unchargedNs(), System.nanoTime());
                planner.runEnded(start.run(), succeeded, System.nanoTime());
                notifyPlanner();
            }
        }
    }

    /**
     * Requests an amount for a run and waits for the grant.
     *
     * @return the granted amount, at most the requested one
     */
    double acquire(Lease lease, Resource resource, double amount) throws InterruptedException {
        synchronized (this) {
            planner.request(lease.runId(), resource, amount, System.nanoTime());
            notifyPlanner();
        }
        return lease.awaitGrant();
    }
}
