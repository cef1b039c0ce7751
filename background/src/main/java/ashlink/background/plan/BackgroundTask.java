package ashlink.background.plan;

import java.util.Comparator;

/** The state of one task of a {@link Planner}. It has one run at most. */
final class BackgroundTask {

    /** Earliest deadline first, ties by name. */
    static final Comparator<BackgroundTask> BY_DEADLINE =
            Comparator.comparingLong(BackgroundTask::deadlineNs)
                    .thenComparing(task -> task.spec.name());

    final TaskSpec spec;

    /** When the next run is due; of a task with a run, when that run was due. */
    long dueNs;

    int consecutiveFailures;

    /** Periods that passed without a run, since the run before them was late. */
    long missedRuns;

    boolean cancelled;

    /** True while a stopping planner owes the task its final run. */
    boolean finalRunPending;

    /** The run in progress, abandoned runs included, or null. */
    TaskRun run;

    BackgroundTask(TaskSpec spec, long dueNs) {
        this.spec = spec;
        this.dueNs = dueNs;
    }

    long deadlineNs() {
        return dueNs + spec.priority().slackNs();
    }
}
