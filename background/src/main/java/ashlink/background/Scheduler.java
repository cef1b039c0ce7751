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

/** Carries out a planner's decisions: one thread that decides, and one for each run. */
public final class Scheduler {

    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long LOOK_NS = 100_000_000L;
    private static final long STACK_BYTES = 256 << 10;

    private record Running(Thread thread, Lease lease) {}

    private final String name;
    private final Planner planner;
    private final DoubleSupplier pressure;
    private final Map<String, BackgroundWork> work = new HashMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final Thread thread;
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong abandoned = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong ended = new AtomicLong();
    private boolean news;
    private boolean killed;

    /** A scheduler that looks how hard service is pressed (0 to 1) ten times a second. */
    public Scheduler(String name, Limits limits, long seed, DoubleSupplier pressure) {
        this.name = name;
        this.planner = new Planner(limits, seed);
        this.pressure = pressure;
        this.thread = new Thread(null, this::decide, name + "-background", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    static long threadCpuNs() {
        return THREADS.isCurrentThreadCpuTimeSupported() ? THREADS.getCurrentThreadCpuTime() : 0;
    }

    // ---- Tasks
    /** Takes a task; false where one of that name is there, there are too many, or all stops. */
    public synchronized boolean add(TaskSpec spec, BackgroundWork doing) {
        List<Decision> out = new ArrayList<>();
        boolean taken = planner.add(spec, System.nanoTime(), out);
        if (taken) {
            work.put(spec.name(), doing);
        }
        perform(out);
        wake();
        return taken;
    }

    /** Calls a task off, and its run. */
    public synchronized void cancel(String task) {
        List<Decision> out = new ArrayList<>();
        planner.cancel(task, System.nanoTime(), out);
        perform(out);
        wake();
    }

    /**
     * Takes no more, lets last runs and those under way end for that time, and interrupts the rest;
     * true if all ended.
     */
    public boolean stop(long limitNs) throws InterruptedException {
        synchronized (this) {
            List<Decision> out = new ArrayList<>();
            planner.stop(System.nanoTime(), limitNs, out);
            perform(out);
            wake();
            while (!planner.isStopped() && !killed) {
                wait(10);
            }
            boolean all = running.isEmpty();
            kill();
            return all;
        }
    }

    /** Ends at once, as a crash would. */
    public synchronized void kill() {
        killed = true;
        thread.interrupt();
        running.values().forEach(r -> r.thread.interrupt());
    }

    // ---- Figures
    /** Runs that ended. */
    public long ended() {
        return ended.get();
    }

    /** Runs that threw. */
    public long failed() {
        return failed.get();
    }

    /** Runs given up, since they did not heed an interrupt. */
    public long abandoned() {
        return abandoned.get();
    }

    /** Runs that gave way. */
    public long dropped() {
        return dropped.get();
    }

    /** Runs that wait. */
    public synchronized int waiting() {
        return planner.waiting();
    }

    // ---- Deciding
    private synchronized void wake() {
        news = true;
        notifyAll();
    }

    private void decide() {
        try {
            while (true) {
                double pressed = pressure.getAsDouble();
                synchronized (this) {
                    if (killed) {
                        return;
                    }
                    news = false;
                    planner.pressure(pressed, System.nanoTime());
                    perform(planner.decide(System.nanoTime()));
                    long wait = planner.waitNs(System.nanoTime(), LOOK_NS);
                    if (!news && wait > 0) {
                        wait(wait / 1_000_000, (int) (wait % 1_000_000));
                    }
                }
            }
        } catch (InterruptedException e) {
            LOG.debug("background work of {} ends", name);
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
                        "background run {} does not end; its task rests until it does",
                        abandon.run());
            } else if (decision instanceof Drop drop) {
                dropped.incrementAndGet();
                work.remove(drop.task());
                LOG.info("background task {} gave way", drop.task());
            }
        }
    }

    private void begin(Start start) {
        BackgroundWork doing = work.get(start.task());
        Thread thread =
                new Thread(null, () -> run(start, doing), name + "-" + start.task(), STACK_BYTES);
        thread.setDaemon(true);
        running.put(start.run(), new Running(thread, null));
        thread.start();
    }

    private void run(Start start, BackgroundWork doing) {
        Lease lease = new Lease(this, start.run());
        synchronized (this) {
            running.put(start.run(), new Running(Thread.currentThread(), lease));
        }
        boolean well = false;
        try {
            doing.run(lease);
            well = true;
        } catch (InterruptedException e) {
            LOG.info("background task {} was interrupted", start.task());
        } catch (Exception | Error e) {
            failed.incrementAndGet();
            LOG.warn("background task {} failed: {}", start.task(), e.toString());
        } finally {
            ended.incrementAndGet();
            synchronized (this) {
                running.remove(start.run());
                planner.charge(Resource.CPU, lease.unpaidNs(), System.nanoTime());
                planner.ended(start.run(), well, System.nanoTime());
                wake();
            }
        }
    }

    double await(Lease lease, Resource resource, double amount) throws InterruptedException {
        synchronized (this) {
            planner.ask(lease.run(), resource, amount, System.nanoTime());
            wake();
        }
        return lease.awaitGrant();
    }
}
