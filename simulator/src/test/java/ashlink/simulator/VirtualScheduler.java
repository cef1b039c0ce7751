package ashlink.simulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in virtual time order; tasks of the same time run in scheduling order. */
final class VirtualScheduler {

    private record Task(long timeNs, long sequence, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::timeNs).thenComparingLong(Task::sequence));
    private long nowNs;
    private long nextSequence;

    VirtualScheduler(long startNs) {
        nowNs = startNs;
    }

    long nowNs() {
        return nowNs;
    }

    /** Schedules a task; a task with a time in the past runs at the current time. */
    void scheduleAt(long timeNs, Runnable action) {
        tasks.add(new Task(Math.max(nowNs, timeNs), nextSequence++, action));
    }

    /** Advances to the time of the next task and runs all tasks of that time. */
    void runNext() {
        nowNs = tasks.element().timeNs();
        while (!tasks.isEmpty() && tasks.element().timeNs() == nowNs) {
            tasks.remove().action().run();
        }
    }
}
