package ashlink.background.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The tasks of a planner, with waiting tasks in order of their deadlines, and the runs that occupy
 * the slots. Abandoned runs occupy no slot.
 */
final class RunQueue {

    private final Limits limits;
    private final Map<String, BackgroundTask> tasks = new LinkedHashMap<>();
    private final Map<Long, TaskRun> runs = new LinkedHashMap<>();
    private long lastRunId;

    RunQueue(Limits limits) {
        this.limits = limits;
    }

    boolean contains(String task) {
        return tasks.containsKey(task);
    }

    /** Returns the task of the name, or null. */
    BackgroundTask task(String name) {
        return tasks.get(name);
    }

    Collection<BackgroundTask> tasks() {
        return tasks.values();
    }

    void add(BackgroundTask task) {
        tasks.put(task.spec.name(), task);
    }

    void remove(BackgroundTask task) {
        tasks.remove(task.spec.name(), task);
    }

    /** Returns the run of the ID, or null. */
    TaskRun run(long id) {
        return runs.get(id);
    }

    Collection<TaskRun> runs() {
        return runs.values();
    }

    /** Starts a run of a task that has no run. */
    TaskRun start(BackgroundTask task, long nowNs, boolean isFinal) {
        TaskRun run = new TaskRun(++lastRunId, task, nowNs, isFinal);
        task.run = run;
        task.finalRunPending = false;
        runs.put(run.id, run);
        return run;
    }

    /** Removes a run and detaches it from its task; returns null for an unknown ID. */
    TaskRun removeRun(long id) {
        TaskRun run = runs.remove(id);
        if (run != null) {
            run.task.run = null;
        }
        return run;
    }

    /** Returns the number of tasks that are due and wait for a slot. */
    int waiting(long nowNs) {
        return (int)
                tasks.values().stream()
                        .filter(task -> task.run == null && task.dueNs <= nowNs)
                        .count();
    }

    /** Returns the number of runs in progress, without abandoned runs. */
    int running() {
        return (int) runs.values().stream().filter(run -> !run.abandoned).count();
    }

    /** Returns a new list of the tasks that match, earliest deadline first. */
    List<BackgroundTask> matchingByDeadline(Predicate<BackgroundTask> matches) {
        return new ArrayList<>(
                tasks.values().stream()
                        .filter(matches)
                        .sorted(BackgroundTask.BY_DEADLINE)
                        .toList());
    }

    /**
     * Returns the waiting one-time task to evict in favor of a new task: among the tasks of the
     * lowest priority, the task with the latest deadline. Returns null if no task has a lower
     * priority than the new one.
     */
    BackgroundTask evictionCandidate(Priority newTaskPriority) {
        return tasks.values().stream()
                .filter(task -> task.run == null && task.spec.isOneTime())
                .max(
                        Comparator.comparing((BackgroundTask task) -> task.spec.priority())
                                .thenComparing(BackgroundTask.BY_DEADLINE))
                .filter(task -> task.spec.priority().compareTo(newTaskPriority) > 0)
                .orElse(null);
    }

    /**
     * Returns true if a run of the priority may occupy a slot. The last of several slots is
     * reserved for high priority.
     */
    boolean hasSlot(Priority priority) {
        int maxRuns = limits.maxConcurrentRuns();
        if (running() >= maxRuns) {
            return false;
        }
        if (priority == Priority.HIGH || maxRuns == 1) {
            return true;
        }
        long lowerPriorityRuns =
                runs.values().stream()
                        .filter(run -> !run.abandoned && run.task.spec.priority() != Priority.HIGH)
                        .count();
        return lowerPriorityRuns < maxRuns - 1;
    }
}
