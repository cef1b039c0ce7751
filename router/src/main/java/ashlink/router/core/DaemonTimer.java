package ashlink.router.core;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates timers whose single thread does not keep the process alive. */
public final class DaemonTimer {

    private DaemonTimer() {}

    /** A timer with one daemon thread of that name; cancelled tasks are removed at once. */
    public static ScheduledThreadPoolExecutor create(String threadName) {
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, threadName);
                            thread.setDaemon(true);
                            return thread;
                        });
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }
}
