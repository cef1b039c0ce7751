package ashlink.background.plan;

import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Drop;
import ashlink.background.plan.Decision.Interrupt;
import ashlink.background.plan.Decision.Resource;
import ashlink.background.plan.Decision.Start;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides what background work runs. Takes events with their times and answers with decisions; the
 * same events with the same seed give the same decisions.
 *
 * <p>Order: the waiting run with the earliest deadline goes first, which is its due time plus the
 * slack of its priority. So a run waits only for those with earlier deadlines, and no stream of
 * later ones can starve it. A task has one run at most, queued or in progress: periods that passed
 * meanwhile make one run, not many.
 *
 * <p>Not thread-safe. Times are readings of one clock in nanoseconds; a clock that goes back counts
 * as one that stands still.
 */
public final class Planner {

    /** Pressure from which on {@link Priority#LOW} is postponed up to its longest delay. */
    private static final double LOW_PRIORITY_MAX_PRESSURE = 0.5;

    private final Limits limits;
    private final RunQueue queue;
    private final TaskTimer timer;
    private final ResourceBudgets budgets;
    private double pressure;
    private long nowNs;
    private boolean stopping;
    private long stopDeadlineNs;

    /** A planner without tasks; {@code seed} gives the jitter of their periods. */
    public Planner(Limits limits, long seed) {
        this.limits = limits;
        this.queue = new RunQueue(limits);
        this.timer = new TaskTimer(seed);
        this.budgets = new ResourceBudgets(limits);
    }

    private void advance(long now) {
        nowNs = Math.max(nowNs, now);
    }

    // ---- Events
    /**
     * Adds a task; a less important one may be evicted for it.
     *
     * @return false if the name is in use, the planner stops, or the queue is full of tasks that
     *     are as important
     */
    public boolean add(TaskSpec spec, long now, List<Decision> decisions) {
        advance(now);
        if (stopping || queue.contains(spec.name())) {
            return false;
        }
        BackgroundTask task = new BackgroundTask(spec, timer.firstDueNs(spec, nowNs));
        if (spec.isOneTime() && waiting() >= limits.maxQueued()) {
            BackgroundTask evicted = queue.evictionCandidate(spec.priority());
            if (evicted == null) {
                return false;
            }
            queue.remove(evicted);
            decisions.add(new Drop(evicted.spec.name()));
        }
        queue.add(task);
        return true;
    }

    /** Removes a task and interrupts its run; an unknown name is ignored. */
    public void cancel(String name, long now, List<Decision> decisions) {
        advance(now);
        BackgroundTask task = queue.task(name);
        if (task == null) {
            return;
        }
        task.cancelled = true;
        if (task.run == null) {
            queue.remove(task);
        } else {
            interrupt(task.run, decisions);
        }
    }

    /** Sets the pressure on the service, from 0 to 1: it lowers the rates of all resources. */
    public void pressure(double current, long now) {
        advance(now);
        pressure = Math.max(0, Math.min(1, current));
        budgets.setPressure(pressure, nowNs);
    }

    /**
     * A run requests an amount before it goes on. A request over the largest amount that is granted
     * at once is granted that amount.
     */
    public void request(long run, Resource resource, double amount, long now) {
        advance(now);
        TaskRun requester = queue.run(run);
        if (requester != null) {
            budgets.request(requester, resource, amount);
        }
    }

    /** A run has used an amount without a request. */
    public void charge(Resource resource, double amount, long now) {
        advance(now);
        budgets.charge(resource, amount, nowNs);
    }

    /** A run ended; {@code succeeded} is false if it threw. */
    public void ended(long run, boolean succeeded, long now) {
        advance(now);
        TaskRun ended = queue.removeRun(run);
        if (ended == null) {
            return;
        }
        BackgroundTask task = ended.task;
        boolean lastOfStop = stopping && (ended.isFinal || !task.spec.finalRun());
        if (task.spec.isOneTime() || task.cancelled || lastOfStop) {
            queue.remove(task);
        } else if (stopping) {
            // The run began before the stop: work that arrived since then needs a final one.
            task.finalRunPending = true;
            task.dueNs = nowNs;
        } else {
            timer.reschedule(task, succeeded && !ended.isInterrupted(), nowNs);
        }
    }

    /** Stops: only final runs start from here on, and all runs are interrupted at the limit. */
    public void stop(long now, long limitNs, List<Decision> decisions) {
        advance(now);
        if (stopping) {
            return;
        }
        stopping = true;
        stopDeadlineNs = nowNs + limitNs;
        for (BackgroundTask task : new ArrayList<>(queue.tasks())) {
            if (task.run == null && !task.spec.finalRun()) {
                queue.remove(task);
                decisions.add(new Drop(task.spec.name()));
            } else if (task.run == null) {
                task.dueNs = Math.min(task.dueNs, nowNs);
                task.finalRunPending = true;
            }
        }
    }

    // ---- Decisions
    /** All decisions that are due now. */
    public List<Decision> decide(long now) {
        advance(now);
        List<Decision> decisions = new ArrayList<>();
        interruptOverdue(decisions);
        budgets.grant(queue.runs(), nowNs, decisions);
        startDue(decisions);
        return decisions;
    }

    private void interruptOverdue(List<Decision> decisions) {
        for (TaskRun run : queue.runs()) {
            boolean timeIsUp =
                    nowNs - run.startNs >= run.task.spec.maxRunNs()
                            || stopping && nowNs >= stopDeadlineNs;
            if (timeIsUp) {
                interrupt(run, decisions);
            }
            if (run.isInterrupted()
                    && !run.abandoned
                    && nowNs - run.interruptedNs() >= limits.graceNs()) {
                run.abandon();
                decisions.add(new Abandon(run.id));
            }
        }
    }

    private long interruptNs(TaskRun run) {
        return stopping ? Math.min(stopDeadlineNs, run.limitNs()) : run.limitNs();
    }

    private void interrupt(TaskRun run, List<Decision> decisions) {
        if (!run.isInterrupted()) {
            run.interrupt(nowNs);
            decisions.add(new Interrupt(run.id));
        }
    }

    private void startDue(List<Decision> decisions) {
        for (BackgroundTask task : queue.inOrder(this::mayStart)) {
            if (queue.hasSlot(task.spec.priority())) {
                TaskRun run = queue.start(task, nowNs, stopping);
                decisions.add(new Start(run.id, task.spec.name()));
            } else if (task.spec.priority() == Priority.HIGH) {
                return; // without a slot for high priority there is none for others
            }
        }
    }

    private boolean mayStart(BackgroundTask task) {
        if (task.run != null || task.dueNs > nowNs || stopping && !mayRunFinally(task)) {
            return false;
        }
        return !isPostponed(task) || nowNs - task.dueNs >= task.spec.maxDelayNs();
    }

    private boolean isPostponed(BackgroundTask task) {
        return !stopping
                && task.spec.priority() == Priority.LOW
                && pressure >= LOW_PRIORITY_MAX_PRESSURE;
    }

    private boolean mayRunFinally(BackgroundTask task) {
        return task.run == null && task.finalRunPending && nowNs < stopDeadlineNs;
    }

    // ---- State
    /**
     * Time in nanoseconds until a decision may be due without a further event; at most {@code
     * maxWaitNs}.
     */
    public long waitNs(long now, long maxWaitNs) {
        advance(now);
        long nextNs = Math.min(nowNs + maxWaitNs, budgets.nextGrantNs(queue.runs(), nowNs));
        for (BackgroundTask task : queue.tasks()) {
            if (task.run == null
                    && queue.hasSlot(task.spec.priority())
                    && (!stopping || mayRunFinally(task))) {
                long postponedNs = isPostponed(task) ? task.spec.maxDelayNs() : 0;
                nextNs = Math.min(nextNs, task.dueNs + postponedNs);
            }
        }
        for (TaskRun run : queue.runs()) {
            if (run.isInterrupted() && !run.abandoned) {
                nextNs = Math.min(nextNs, run.interruptedNs() + limits.graceNs());
            } else if (!run.abandoned) {
                nextNs = Math.min(nextNs, interruptNs(run));
            }
        }
        return Math.max(0, nextNs - nowNs);
    }

    /** True once all runs have ended or were abandoned after a stop. */
    public boolean isStopped() {
        return stopping
                && queue.running() == 0
                && queue.tasks().stream().noneMatch(this::mayRunFinally);
    }

    /** Runs that are due and wait. */
    public int waiting() {
        return queue.queued(nowNs);
    }

    /** Runs in progress that were not abandoned. */
    public int running() {
        return queue.running();
    }

    /** Periods that passed without a run of that task, as a run was late; 0 for an unknown task. */
    public long missed(String task) {
        BackgroundTask known = queue.task(task);
        return known == null ? 0 : known.missedRuns;
    }
}
