package ashlink.background.plan;

import java.util.SplittableRandom;

/** Computes due times: periods with random jitter, and an exponential backoff after failures. */
final class TaskTimer {

    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** Maximum backoff: one hour, or the period of the task if the period is longer. */
    private static final long MAX_BACKOFF_NS = 3_600_000_000_000L;

    private final SplittableRandom random;

    TaskTimer(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Returns the first due time of a task that is added now. */
    long firstDueNs(TaskSpec spec, long nowNs) {
        return spec.isOneTime() ? nowNs : nowNs + jitteredPeriodNs(spec);
    }

    /** Sets the next due time of a periodic task whose run has just ended. */
    void reschedule(BackgroundTask task, boolean succeeded, long nowNs) {
        task.consecutiveFailures = succeeded ? 0 : task.consecutiveFailures + 1;
        if (task.consecutiveFailures > 0) {
            task.dueNs = nowNs + backoffNs(task);
            return;
        }
        long nextNs = task.dueNs + jitteredPeriodNs(task.spec);
        if (nextNs <= nowNs) {
            task.missedRuns += (nowNs - task.dueNs) / task.spec.periodNs();
            nextNs = nowNs + jitteredPeriodNs(task.spec);
        }
        task.dueNs = nextNs;
    }

    private static long backoffNs(BackgroundTask task) {
        long periodNs = task.spec.periodNs();
        long exponentialNs = periodNs << Math.min(task.consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        return Math.max(periodNs, Math.min(exponentialNs, MAX_BACKOFF_NS));
    }

    private long jitteredPeriodNs(TaskSpec spec) {
        double offset = spec.jitter() == 0 ? 0 : spec.jitter() * (2 * random.nextDouble() - 1);
        return Math.max(1, Math.round(spec.periodNs() * (1 + offset)));
    }
}
