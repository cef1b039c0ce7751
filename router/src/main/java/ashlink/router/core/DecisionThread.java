package ashlink.router.core;

import java.util.concurrent.LinkedBlockingQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only thread that calls the decision module. It runs tasks in the order in which they were
 * added. The admission control in {@link Core#submit} bounds the queue.
 */
final class DecisionThread {

    private static final Logger LOG = LoggerFactory.getLogger(DecisionThread.class);

    private record QueuedTask(Runnable task, long queuedNs) {}

    private final LinkedBlockingQueue<QueuedTask> tasks = new LinkedBlockingQueue<>();
    private final DelayMonitor.Stage delays;
    private final Thread thread;
    private volatile boolean stopped;

    DecisionThread(String threadName, DelayMonitor.Stage delays) {
        this.delays = delays;
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Adds a task to the queue; does not block. */
    void execute(Runnable task) {
        tasks.add(new QueuedTask(task, delays.nowNs()));
    }

    /** Returns the number of queued tasks. */
    int queuedTasks() {
        return tasks.size();
    }

    /** Stops the thread; queued tasks are not run. */
    void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        while (!stopped) {
            try {
                QueuedTask next = tasks.take();
                delays.recordSince(next.queuedNs());
                next.task().run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // If this thread ended, the router would accept requests but never respond.
                LOG.error("decision task failed; the decision thread continues", e);
            }
        }
    }
}
