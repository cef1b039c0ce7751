package ashlink.router.core;

import java.util.concurrent.LinkedBlockingQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that calls the decision module. It runs tasks in the order in which they were
 * added; the queue is bounded by the admission in {@link Core#submit}.
 */
final class DecisionThread {

    private static final Logger LOG = LoggerFactory.getLogger(DecisionThread.class);

    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile boolean stopped;

    DecisionThread(String threadName) {
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Adds a task; does not block. */
    void execute(Runnable task) {
        tasks.add(task);
    }

    /** Tasks that wait. */
    int queuedTasks() {
        return tasks.size();
    }

    /** Ends the thread; tasks that wait are not run. */
    void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        while (!stopped) {
            try {
                tasks.take().run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // Without this thread the router would accept requests and answer none.
                LOG.error("decision task failed, thread continues", e);
            }
        }
    }
}
