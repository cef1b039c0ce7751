package ashlink.simulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of virtual time; tasks of one time run in the order of scheduling. */
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

    /** Schedules a task; a time in the past stands for now. */
    void scheduleAt(long timeNs, Runnable action) {
        tasks.add(new Task(Math.max(nowNs, timeNs), nextSequence++, action));
    }

    /** Advances to the time of the next task, and runs all tasks of that time. */
    void runNext() {
        nowNs = tasks.element().timeNs();
        while (!tasks.isEmpty() && tasks.element().timeNs() == nowNs) {
            tasks.remove().action().run();
        }
    }
}
