package ashlink.router.core;

import ashlink.router.failure.FailureLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only thread that calls the decision module. It runs tasks in the order of the {@link
 * DecisionQueue}. The admission control in {@link Core#submit} bounds the queue.
 */
final class DecisionThread {

    private static final Logger LOG = LoggerFactory.getLogger(DecisionThread.class);

    private final DecisionQueue queue = new DecisionQueue();
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

    /** Adds an event to the queue; does not block. */
    void execute(Runnable event) {
        queue.addEvent(new QueuedTask(null, null, event, delays.nowNs()));
    }

    /**
     * Adds a submission to the queue; does not block.
     *
     * @param orderingKey key whose submissions keep their order over all sources, or null
     */
    QueuedTask submit(RequestSource source, String orderingKey, Runnable submission) {
        QueuedTask task = new QueuedTask(source, orderingKey, submission, delays.nowNs());
        queue.addSubmission(task);
        return task;
    }

    /** Removes a submission from the queue. Returns false if its turn has come. */
    boolean withdraw(QueuedTask submission) {
        return queue.removeSubmission(submission);
    }

    /** Returns the number of queued tasks. */
    int queuedTasks() {
        return queue.size();
    }

    /** Stops the thread; queued tasks are not run. */
    void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        while (!stopped) {
            try {
                QueuedTask next = queue.take();
                delays.recordSince(next.queuedNs());
                next.task().run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // If this thread ended, the router would accept requests but never respond.
                FailureLog.error(LOG, "decision task failed; the decision thread continues", e);
            }
        }
    }
}
