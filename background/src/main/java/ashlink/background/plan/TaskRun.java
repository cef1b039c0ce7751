package ashlink.background.plan;

import ashlink.background.plan.Decision.Resource;
import java.util.EnumMap;
import java.util.Map;

/** The state of one run of a {@link BackgroundTask}. */
final class TaskRun {

    private static final long NOT_INTERRUPTED = -1;

    final long id;
    final BackgroundTask task;
    final long startNs;

    /** True if the planner was stopping when it started the run. */
    final boolean isFinal;

    /** Requested amounts that have not been granted yet. */
    final Map<Resource, Double> requests = new EnumMap<>(Resource.class);

    boolean abandoned;
    private long interruptedNs = NOT_INTERRUPTED;

    TaskRun(long id, BackgroundTask task, long startNs, boolean isFinal) {
        this.id = id;
        this.task = task;
        this.startNs = startNs;
        this.isFinal = isFinal;
    }

    /** Returns the time at which the run reaches its time limit. */
    long limitNs() {
        return startNs + task.spec.maxRunNs();
    }

    boolean isInterrupted() {
        return interruptedNs >= 0;
    }

    long interruptedNs() {
        return interruptedNs;
    }

    void interrupt(long nowNs) {
        interruptedNs = nowNs;
        requests.clear();
    }

    void abandon() {
        abandoned = true;
        requests.clear();
    }
}
