package ashlink.background.plan;

import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Drop;
import ashlink.background.plan.Decision.Grant;
import ashlink.background.plan.Decision.Interrupt;
import ashlink.background.plan.Decision.Resource;
import ashlink.background.plan.Decision.Start;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides what background work runs. Told what happens and when, it answers with decisions; the
 * same story gives the same decisions.
 *
 * <p>Order: each waiting run has a turn, the time at which it came due and the slack of its
 * priority together; the earliest turn goes first. So a run waits only for those with earlier
 * turns, and no stream of later ones can starve it. A task has one run at most, waiting or under
 * way: what it missed meanwhile is one run, not many.
 */
public final class Planner {

    /** Pressure from which on {@link Priority#LOW} is not started until it is late. */
    private static final double PRESSED = 0.5;

    private static final int MOST_DOUBLINGS = 6;

    /** Longest rest of a task that fails: an hour, or its own time where that is longer. */
    private static final long LONGEST_REST_NS = 3_600_000_000_000L;

    private static final class Task {
        final TaskSpec spec;
        long dueNs;
        int fails;
        long missed;
        boolean cancelled;
        boolean atStopDue;
        Run run;

        Task(TaskSpec spec, long dueNs) {
            this.spec = spec;
            this.dueNs = dueNs;
        }

        long turnNs() {
            return dueNs + spec.priority().slackNs();
        }
    }

    private static final class Run {
        final long id;
        final Task task;
        final long startNs;
        final boolean last;
        final Map<Resource, Double> asks = new EnumMap<>(Resource.class);
        long interruptedNs = -1;
        boolean abandoned;

        Run(long id, Task task, long startNs, boolean last) {
            this.last = last;
            this.id = id;
            this.task = task;
            this.startNs = startNs;
        }
    }

    private static final Comparator<Task> BY_TURN =
            Comparator.comparingLong(Task::turnNs).thenComparing(t -> t.spec.name());

    private final Limits limits;
    private final SplittableRandom random;
    private final Map<Resource, Budget> budgets = new EnumMap<>(Resource.class);
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<Long, Run> runs = new LinkedHashMap<>();
    private double pressure;
    private long lastRun;
    private long nowNs;
    private boolean stopping;
    private long stopAtNs;

    /** A planner without tasks; {@code seed} moves their times. */
    public Planner(Limits limits, long seed) {
        this.limits = limits;
        this.random = new SplittableRandom(seed);
        budgets.put(Resource.CPU, new Budget(limits.cpuBurstNs(), limits.cpuShare() * 1e9));
        budgets.put(Resource.BYTES, new Budget(limits.bytesBurst(), limits.bytesPerSecond()));
    }

    private void pass(long now) {
        nowNs = Math.max(nowNs, now); // a clock that goes back is as one that stands
    }

    // ---- What happens
    /**
     * There is a task; false where it is known already, all stops, or it would have to give way at
     * once.
     */
    public boolean add(TaskSpec spec, long now, List<Decision> out) {
        pass(now);
        if (stopping || tasks.containsKey(spec.name())) {
            return false;
        }
        Task t = new Task(spec, spec.everyNs() == 0 ? nowNs : nowNs + moved(spec));
        if (spec.everyNs() == 0 && waiting() >= limits.mostWaiting()) {
            Task least =
                    tasks.values().stream()
                            .filter(x -> x.run == null && x.spec.everyNs() == 0)
                            .max(
                                    Comparator.comparing((Task x) -> x.spec.priority())
                                            .thenComparing(BY_TURN))
                            .orElse(null);
            if (least == null || least.spec.priority().compareTo(spec.priority()) <= 0) {
                return false;
            }
            tasks.remove(least.spec.name());
            out.add(new Drop(least.spec.name()));
        }
        tasks.put(spec.name(), t);
        return true;
    }

    /** Nobody wants a task any more: it is forgotten, and its run interrupted. */
    public void cancel(String task, long now, List<Decision> out) {
        pass(now);
        Task t = tasks.get(task);
        if (t != null) {
            t.cancelled = true;
            if (t.run == null) {
                tasks.remove(task);
            } else {
                interrupt(t.run, out);
            }
        }
    }

    /** How hard service is pressed, from 0 to 1: both rates shrink to what the limits leave. */
    public void pressure(double of, long now) {
        pass(now);
        pressure = Math.max(0, Math.min(1, of));
        double share = Math.max(limits.leastShare(), 1 - pressure);
        budgets.values().forEach(budget -> budget.share(share, nowNs));
    }

    /**
     * A run wants so much before it goes on; asked for more than is ever given at once, it gets
     * that.
     */
    public void ask(long run, Resource resource, double amount, long now) {
        pass(now);
        Run r = runs.get(run);
        if (r != null) {
            r.asks.put(resource, Math.min(amount, budgets.get(resource).most()));
        }
    }

    /** A run has used so much without asking. */
    public void charge(Resource resource, double amount, long now) {
        pass(now);
        budgets.get(resource).charge(amount, nowNs);
    }

    /** A run ended; {@code well} false where it threw. */
    public void ended(long run, boolean well, long now) {
        pass(now);
        Run r = runs.remove(run);
        if (r == null) {
            return;
        }
        Task task = r.task;
        task.run = null;
        if (task.spec.everyNs() == 0
                || task.cancelled
                || stopping && (r.last || !task.spec.atStop())) {
            tasks.remove(task.spec.name(), task);
            return;
        }
        if (stopping) {
            task.atStopDue = true; // what came up since it began is for one more run
            task.dueNs = nowNs;
            return;
        }
        task.fails = well && r.interruptedNs < 0 ? 0 : task.fails + 1;
        if (task.fails > 0) {
            long rest = task.spec.everyNs() << Math.min(task.fails, MOST_DOUBLINGS);
            task.dueNs = nowNs + Math.max(task.spec.everyNs(), Math.min(rest, LONGEST_REST_NS));
        } else {
            long next = task.dueNs + moved(task.spec);
            if (next <= nowNs) {
                task.missed += (nowNs - task.dueNs) / task.spec.everyNs();
                next = nowNs + moved(task.spec);
            }
            task.dueNs = next;
        }
    }

    /** All ends: nothing more starts but last runs, and what runs has that long. */
    public void stop(long now, long limitNs, List<Decision> out) {
        pass(now);
        if (stopping) {
            return;
        }
        stopping = true;
        stopAtNs = nowNs + limitNs;
        for (Task task : new ArrayList<>(tasks.values())) {
            if (task.run == null && !task.spec.atStop()) {
                tasks.remove(task.spec.name());
                out.add(new Drop(task.spec.name()));
            } else if (task.run == null) {
                task.dueNs = Math.min(task.dueNs, nowNs);
                task.atStopDue = true;
            }
        }
    }

    /** True once all has stopped, but for runs that were given up. */
    public boolean isStopped() {
        return stopping
                && runs.values().stream().allMatch(run -> run.abandoned)
                && tasks.values().stream().noneMatch(this::mayLast);
    }

    private boolean mayLast(Task task) {
        return task.run == null && task.atStopDue && nowNs < stopAtNs;
    }

    // ---- Decisions
    /** All that is to be done now. */
    public List<Decision> decide(long now) {
        pass(now);
        List<Decision> out = new ArrayList<>();
        overtime(out);
        grant(out);
        start(out);
        return out;
    }

    private void overtime(List<Decision> out) {
        for (Run run : runs.values()) {
            boolean late =
                    nowNs - run.startNs >= run.task.spec.runNs() || stopping && nowNs >= stopAtNs;
            if (late && run.interruptedNs < 0) {
                interrupt(run, out);
            }
            if (run.interruptedNs >= 0
                    && !run.abandoned
                    && nowNs - run.interruptedNs >= limits.graceNs()) {
                run.abandoned = true;
                run.asks.clear();
                out.add(new Abandon(run.id));
            }
        }
    }

    private void interrupt(Run run, List<Decision> out) {
        if (run.interruptedNs < 0) {
            run.interruptedNs = nowNs;
            run.asks.clear();
            out.add(new Interrupt(run.id));
        }
    }

    /**
     * In order of turns, and nobody goes past one that waits: a large amount is not starved by
     * small ones.
     */
    private void grant(List<Decision> out) {
        for (Resource resource : Resource.values()) {
            for (Run run : asking(resource)) {
                double amount = run.asks.get(resource);
                if (!budgets.get(resource).take(amount, nowNs)) {
                    break;
                }
                run.asks.remove(resource);
                out.add(new Grant(run.id, resource, amount));
            }
        }
    }

    private List<Run> asking(Resource resource) {
        return runs.values().stream()
                .filter(run -> run.asks.containsKey(resource))
                .sorted(Comparator.comparing((Run run) -> run.task, BY_TURN))
                .toList();
    }

    private void start(List<Decision> out) {
        List<Task> due =
                new ArrayList<>(
                        tasks.values().stream().filter(this::mayStart).sorted(BY_TURN).toList());
        for (Task task : due) {
            if (!hasPlace(task.spec.priority())) {
                if (task.spec.priority() == Priority.HIGH) {
                    return;
                }
                continue; // the last place is still there for those of high priority
            }
            task.run = new Run(++lastRun, task, nowNs, stopping);
            runs.put(task.run.id, task.run);
            task.atStopDue = false;
            out.add(new Start(task.run.id, task.spec.name()));
        }
    }

    private boolean mayStart(Task task) {
        if (task.run != null || task.dueNs > nowNs || stopping && !mayLast(task)) {
            return false;
        }
        return stopping
                || task.spec.priority() != Priority.LOW
                || pressure < PRESSED
                || nowNs - task.dueNs >= task.spec.latestNs();
    }

    private boolean hasPlace(Priority priority) {
        long taken = runs.values().stream().filter(run -> !run.abandoned).count();
        long plain =
                runs.values().stream()
                        .filter(run -> !run.abandoned && run.task.spec.priority() != Priority.HIGH)
                        .count();
        return taken < limits.runsAtOnce()
                && (priority == Priority.HIGH
                        || limits.runsAtOnce() == 1
                        || plain < limits.runsAtOnce() - 1);
    }

    /**
     * Time from now until something may have to be decided though nothing happens; at most {@code
     * mostNs}.
     */
    public long waitNs(long now, long mostNs) {
        pass(now);
        long at = nowNs + mostNs;
        for (Task task : tasks.values()) {
            if (task.run == null
                    && hasPlace(task.spec.priority())
                    && (!stopping || mayLast(task))) {
                boolean held =
                        task.spec.priority() == Priority.LOW && pressure >= PRESSED && !stopping;
                at = Math.min(at, task.dueNs + (held ? task.spec.latestNs() : 0));
            }
        }
        for (Run run : runs.values()) {
            if (!run.abandoned) {
                at =
                        Math.min(
                                at,
                                run.interruptedNs >= 0
                                        ? run.interruptedNs + limits.graceNs()
                                        : stopping
                                                ? Math.min(
                                                        stopAtNs,
                                                        run.startNs + run.task.spec.runNs())
                                                : run.startNs + run.task.spec.runNs());
            }
        }
        for (Resource resource : Resource.values()) {
            List<Run> asking = asking(resource);
            if (!asking.isEmpty()) {
                at =
                        Math.min(
                                at,
                                nowNs
                                        + budgets.get(resource)
                                                .waitNs(asking.get(0).asks.get(resource), nowNs));
            }
        }
        return Math.max(0, at - nowNs);
    }

    private long moved(TaskSpec spec) {
        double by = spec.jitter() == 0 ? 0 : spec.jitter() * (2 * random.nextDouble() - 1);
        return Math.max(1, Math.round(spec.everyNs() * (1 + by)));
    }

    // ---- What is
    /** Runs that are due and wait. */
    public int waiting() {
        return (int)
                tasks.values().stream()
                        .filter(task -> task.run == null && task.dueNs <= nowNs)
                        .count();
    }

    /** Runs under way that were not given up. */
    public int running() {
        return (int) runs.values().stream().filter(run -> !run.abandoned).count();
    }

    /** Runs that a repeated task would have had and did not, as it was late. */
    public long missed(String task) {
        Task t = tasks.get(task);
        return t == null ? 0 : t.missed;
    }
}
