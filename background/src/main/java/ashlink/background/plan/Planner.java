package ashlink.background.plan;

import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Evict;
import ashlink.background.plan.Decision.Interrupt;
import ashlink.background.plan.Decision.Resource;
import ashlink.background.plan.Decision.Start;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which background tasks run. Receives events with their times and returns decisions; the
 * same events with the same seed give the same decisions.
 *
 * <p>Tasks start in order of their deadlines, where the deadline is the due time plus the slack of
 * the priority. A task therefore waits only for tasks with earlier deadlines, and a stream of later
 * tasks cannot starve it. A task has at most one run, queued or in progress: missed periods lead to
 * a single run.
 *
 * <p>Not thread-safe. Times are readings of one clock in nanoseconds; if the clock goes back, the
 * planner continues with the latest time seen.
 */
public final class Planner {

    /** Pressure at which {@link Priority#LOW} tasks are postponed, up to their maximum delay. */
    private static final double LOW_PRIORITY_MAX_PRESSURE = 0.5;

    private final Limits limits;
    private final RunQueue queue;
    private final TaskTimer timer;
    private final ResourceBudgets budgets;
    private double pressure;
    private long nowNs;
    private boolean stopping;
    private long stopDeadlineNs;

    /** Creates a planner without tasks; {@code seed} is the seed of the random period jitter. */
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
     * Adds a task. May evict a queued task of lower priority.
     *
     * @return false if the name is in use, the planner is stopping, or the queue is full of tasks
     *     of the same or a higher priority
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
            decisions.add(new Evict(evicted.spec.name()));
        }
        queue.add(task);
        return true;
    }

    /** Removes a task and interrupts its run; ignores an unknown name. */
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

    /**
     * Sets the load pressure on the service, from 0 to 1, which lowers the rate of all resources.
     */
    public void setPressure(double current, long now) {
        advance(now);
        pressure = Math.max(0, Math.min(1, current));
        budgets.setPressure(pressure, nowNs);
    }

    /**
     * Requests an amount of a resource for a run, which waits for the grant. A request above the
     * burst size of the resource is reduced to the burst size.
     */
    public void request(long run, Resource resource, double amount, long now) {
        advance(now);
        TaskRun requester = queue.run(run);
        if (requester != null) {
            budgets.request(requester, resource, amount);
        }
    }

    /** Charges an amount of a resource that was used without a request. */
    public void charge(Resource resource, double amount, long now) {
        advance(now);
        budgets.charge(resource, amount, nowNs);
    }

    /** Records the end of a run; {@code succeeded} is false if the run threw an exception. */
    public void runEnded(long run, boolean succeeded, long now) {
        advance(now);
        TaskRun ended = queue.removeRun(run);
        if (ended == null) {
            return;
        }
        BackgroundTask task = ended.task;
        boolean isLastRun = stopping && (ended.isFinal || !task.spec.finalRun());
        if (task.spec.isOneTime() || task.cancelled || isLastRun) {
            queue.remove(task);
        } else if (stopping) {
            // The run started before the stop, so work that arrived during the run needs a final
            // run.
            task.finalRunPending = true;
            task.dueNs = nowNs;
        } else {
            timer.reschedule(task, succeeded && !ended.isInterrupted(), nowNs);
        }
    }

    /**
     * Begins the stop: only final runs start, and all runs are interrupted after {@code limitNs}.
     */
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
                decisions.add(new Evict(task.spec.name()));
            } else if (task.run == null) {
                task.dueNs = Math.min(task.dueNs, nowNs);
                task.finalRunPending = true;
            }
        }
    }

    // ---- Decisions
    /** Returns all decisions that are due now. */
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
            boolean isOverdue =
                    nowNs - run.startNs >= run.task.spec.maxRunNs()
                            || stopping && nowNs >= stopDeadlineNs;
            if (isOverdue) {
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

    private long interruptTimeNs(TaskRun run) {
        return stopping ? Math.min(stopDeadlineNs, run.limitNs()) : run.limitNs();
    }

    private void interrupt(TaskRun run, List<Decision> decisions) {
        if (!run.isInterrupted()) {
            run.interrupt(nowNs);
            decisions.add(new Interrupt(run.id));
        }
    }

    private void startDue(List<Decision> decisions) {
        for (BackgroundTask task : queue.matchingByDeadline(this::mayStart)) {
            if (queue.hasSlot(task.spec.priority())) {
                TaskRun run = queue.start(task, nowNs, stopping);
                decisions.add(new Start(run.id, task.spec.name()));
            } else if (task.spec.priority() == Priority.HIGH) {
                return; // no slot for high priority means no slot for lower priorities
            }
        }
    }

    private boolean mayStart(BackgroundTask task) {
        if (task.run != null || task.dueNs > nowNs || stopping && !mayStartFinalRun(task)) {
            return false;
        }
        return !isPostponed(task) || nowNs - task.dueNs >= task.spec.maxDelayNs();
    }

    private boolean isPostponed(BackgroundTask task) {
        return !stopping
                && task.spec.priority() == Priority.LOW
                && pressure >= LOW_PRIORITY_MAX_PRESSURE;
    }

    private boolean mayStartFinalRun(BackgroundTask task) {
        return task.run == null && task.finalRunPending && nowNs < stopDeadlineNs;
    }

    // ---- State
    /**
     * Returns the time in nanoseconds until a decision may be due without a further event, at most
     * {@code maxWaitNs}.
     */
    public long waitNs(long now, long maxWaitNs) {
        advance(now);
        long nextNs = Math.min(nowNs + maxWaitNs, budgets.nextGrantNs(queue.runs(), nowNs));
        for (BackgroundTask task : queue.tasks()) {
            if (task.run == null
                    && queue.hasSlot(task.spec.priority())
                    && (!stopping || mayStartFinalRun(task))) {
                long postponedNs = isPostponed(task) ? task.spec.maxDelayNs() : 0;
                nextNs = Math.min(nextNs, task.dueNs + postponedNs);
            }
        }
        for (TaskRun run : queue.runs()) {
            if (run.isInterrupted() && !run.abandoned) {
                nextNs = Math.min(nextNs, run.interruptedNs() + limits.graceNs());
            } else if (!run.abandoned) {
                nextNs = Math.min(nextNs, interruptTimeNs(run));
            }
        }
        return Math.max(0, nextNs - nowNs);
    }

    /** Returns true once the planner is stopping and all runs have ended or were abandoned. */
    public boolean isStopped() {
        return stopping
                && queue.running() == 0
                && queue.tasks().stream().noneMatch(this::mayStartFinalRun);
    }

    /** Returns the number of tasks that are due and wait for a slot. */
    public int waiting() {
        return queue.waiting(nowNs);
    }

    /** Returns the number of runs in progress, without abandoned runs. */
    public int running() {
        return queue.running();
    }

    /**
     * Returns the number of periods without a run of the task because the previous run was late; 0
     * for an unknown task.
     */
    public long missedRuns(String task) {
        BackgroundTask known = queue.task(task);
        return known == null ? 0 : known.missedRuns;
    }
}
