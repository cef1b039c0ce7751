package ashlink.router.core;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates timers with a single daemon thread, which does not keep the process alive. */
public final class DaemonTimer {

    private DaemonTimer() {}

    /**
     * Creates a timer with one daemon thread of the given name. The timer removes cancelled tasks
     * immediately.
     */
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
