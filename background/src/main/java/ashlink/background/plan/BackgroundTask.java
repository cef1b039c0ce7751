package ashlink.background.plan;

import java.util.Comparator;

/** The state of one task of a {@link Planner}. A task has at most one run at a time. */
final class BackgroundTask {

    /** Orders tasks by deadline, earliest first, and tasks of the same deadline by name. */
    static final Comparator<BackgroundTask> BY_DEADLINE =
            Comparator.comparingLong(BackgroundTask::deadlineNs)
                    .thenComparing(task -> task.spec.name());

    final TaskSpec spec;

    /** Due time of the next run, or of the run in progress. */
    long dueNs;

    int consecutiveFailures;

    /** Number of periods without a run because the previous run was late. */
    long missedRuns;

    boolean cancelled;

    /** True if the planner is stopping and has yet to start the final run of the task. */
    boolean finalRunPending;

    /** The run in progress, which may be abandoned; null for none. */
    TaskRun run;

    BackgroundTask(TaskSpec spec, long dueNs) {
        this.spec = spec;
        this.dueNs = dueNs;
    }

    long deadlineNs() {
        return dueNs + spec.priority().slackNs();
    }
}
