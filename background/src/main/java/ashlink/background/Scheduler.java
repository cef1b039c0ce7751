package ashlink.background;

import ashlink.background.plan.Decision;
import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Drop;
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
 * Carries out a planner's decisions, with one thread that decides and one for each run.
 *
 * <p>Thread-safe. All threads are daemons.
 */
public final class Scheduler {

    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long DECISION_INTERVAL_NS = 100_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long STACK_BYTES = 256 << 10;

    private static final long STOP_POLL_MS = 10;

    /** The thread of a run; the lease is null until that thread has begun. */
    private record Running(Thread thread, Lease lease) {}

    private final String name;

    /** Guarded by this. */
    private final Planner planner;

    private final DoubleSupplier pressure;

    /** Work by the name of its task. Guarded by this. */
    private final Map<String, BackgroundWork> workByTask = new HashMap<>();

    /** Runs in progress by their id. Guarded by this. */
    private final Map<Long, Running> running = new HashMap<>();

    private final Thread plannerThread;
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong abandoned = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong ended = new AtomicLong();

    /** True if an event arrived after the last decision. Guarded by this. */
    private boolean signalled;

    /** Guarded by this. */
    private boolean killed;

    /**
     * Starts a scheduler.
     *
     * @param name prefix of the names of its threads
     * @param seed seed of the jitter of periodic tasks
     * @param pressure pressure on the service from 0 to 1, read at least ten times a second; called
     *     by the planner's thread without a lock
     */
    public Scheduler(String name, Limits limits, long seed, DoubleSupplier pressure) {
        this.name = name;
        this.planner = new Planner(limits, seed);
        this.pressure = pressure;
        this.plannerThread = new Thread(null, this::decide, name + "-background", STACK_BYTES);
        plannerThread.setDaemon(true);
        plannerThread.start();
    }

    static long threadCpuNs() {
        return THREADS.isCurrentThreadCpuTimeSupported() ? THREADS.getCurrentThreadCpuTime() : 0;
    }

    // ---- Tasks
    /**
     * Adds a task.
     *
     * @return false if the name is in use, the scheduler stops, or the queue is full of tasks that
     *     are as important
     */
    public synchronized boolean add(TaskSpec spec, BackgroundWork work) {
        List<Decision> decisions = new ArrayList<>();
        boolean added = planner.add(spec, System.nanoTime(), decisions);
        if (added) {
            workByTask.put(spec.name(), work);
        }
        perform(decisions);
        signal();
        return added;
    }

    /** Removes a task and interrupts its run; an unknown name is ignored. */
    public synchronized void cancel(String task) {
        List<Decision> decisions = new ArrayList<>();
        planner.cancel(task, System.nanoTime(), decisions);
        perform(decisions);
        signal();
    }

    /**
     * Stops: accepts no more tasks, waits for the runs in progress and the final runs up to the
     * limit, and interrupts the rest.
     *
     * @return true if all runs ended
     * @throws InterruptedException if the caller is interrupted while it waits
     */
    public boolean stop(long limitNs) throws InterruptedException {
        synchronized (this) {
            List<Decision> decisions = new ArrayList<>();
            planner.stop(System.nanoTime(), limitNs, decisions);
            perform(decisions);
            signal();
            while (!planner.isStopped() && !killed) {
                wait(STOP_POLL_MS);
            }
            boolean allEnded = running.isEmpty();
            kill();
            return allEnded;
        }
    }

    /** Interrupts all threads at once, without waiting or final runs. */
    public synchronized void kill() {
        killed = true;
        plannerThread.interrupt();
        running.values().forEach(run -> run.thread.interrupt());
    }

    // ---- Counters
    /** Runs that ended. */
    public long ended() {
        return ended.get();
    }

    /** Runs that threw, other than by an interrupt. */
    public long failed() {
        return failed.get();
    }

    /** Runs that were abandoned, since they ignored an interrupt. */
    public long abandoned() {
        return abandoned.get();
    }

    /** Queued runs that were evicted, by more important ones or by the stop. */
    public long dropped() {
        return dropped.get();
    }

    /** Runs that are due and wait. */
    public synchronized int waiting() {
        return planner.waiting();
    }

    // ---- Deciding
    private synchronized void signal() {
        signalled = true;
        notifyAll();
    }

    private void decide() {
        try {
            while (true) {
                double currentPressure = pressure.getAsDouble();
                synchronized (this) {
                    if (killed) {
                        return;
                    }
                    signalled = false;
                    planner.pressure(currentPressure, System.nanoTime());
                    perform(planner.decide(System.nanoTime()));
                    long waitNs = planner.waitNs(System.nanoTime(), DECISION_INTERVAL_NS);
                    if (!signalled && waitNs > 0) {
                        wait(waitNs / NANOS_PER_MILLI, (int) (waitNs % NANOS_PER_MILLI));
                    }
                }
            }
        } catch (InterruptedException e) {
            LOG.debug("background scheduler ends name={}", name);
        }
    }

    private void perform(List<Decision> decisions) {
        for (Decision decision : decisions) {
            if (decision instanceof Start start) {
                begin(start);
            } else if (decision instanceof Grant grant && running.containsKey(grant.run())) {
                running.get(grant.run()).lease.grant(grant.amount());
            } else if (decision instanceof Interrupt interrupt
                    && running.containsKey(interrupt.run())) {
                running.get(interrupt.run()).thread.interrupt();
            } else if (decision instanceof Abandon abandon) {
                abandoned.incrementAndGet();
                LOG.warn(
                        "background run {} does not end; its task is not started until it does",
                        abandon.run());
            } else if (decision instanceof Drop drop) {
                dropped.incrementAndGet();
                workByTask.remove(drop.task());
                LOG.info("background task evicted task={}", drop.task());
            }
        }
    }

    private void begin(Start start) {
        BackgroundWork work = workByTask.get(start.task());
        Thread thread =
                new Thread(null, () -> run(start, work), name + "-" + start.task(), STACK_BYTES);
        thread.setDaemon(true);
        running.put(start.run(), new Running(thread, null));
        thread.start();
    }

    private void run(Start start, BackgroundWork work) {
        Lease lease = new Lease(this, start.run());
        synchronized (this) {
            running.put(start.run(), new Running(Thread.currentThread(), lease));
        }
        boolean succeeded = false;
        try {
            work.run(lease);
            succeeded = true;
        } catch (InterruptedException e) {
            LOG.info("background task interrupted task={}", start.task());
        } catch (Exception | Error e) {
            failed.incrementAndGet();
            LOG.warn("background task failed task={} error={}", start.task(), e.toString());
        } finally {
            ended.incrementAndGet();
            synchronized (this) {
                running.remove(start.run());
                planner.charge(Resource.CPU, lease.unchargedNs(), System.nanoTime());
                planner.ended(start.run(), succeeded, System.nanoTime());
                signal();
            }
        }
    }

    /** Waits until the planner grants the run an amount, the requested one or less. */
    double acquire(Lease lease, Resource resource, double amount) throws InterruptedException {
        synchronized (this) {
            planner.request(lease.run(), resource, amount, System.nanoTime());
            signal();
        }
        return lease.awaitGrant();
    }
}
