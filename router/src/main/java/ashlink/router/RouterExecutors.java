package ashlink.router;

import ashlink.config.RouterConfig;
import ashlink.router.core.DaemonTimer;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates the executors of a router; all their threads are daemon threads. */
final class RouterExecutors {

    private static final long WORKER_IDLE_S = 10;

    /**
     * Workers for each open request: one for its attempt, and one that writes a final response
     * while the attempt is blocked.
     */
    private static final int WORKERS_PER_REQUEST = 2;

    /** Additional workers for health checks and other short tasks. */
    private static final int EXTRA_WORKERS = 64;

    private RouterExecutors() {}

    /**
     * Creates the executor of attempts, which rejects tasks beyond its limit instead of queueing
     * them.
     */
    static ThreadPoolExecutor workers(RouterConfig config) {
        int maxWorkers =
                WORKERS_PER_REQUEST * config.resourceLimits().maxOpenRequests() + EXTRA_WORKERS;
        return new ThreadPoolExecutor(
                0,
                maxWorkers,
                WORKER_IDLE_S,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                workerFactory(config.name(), config.resourceLimits().threadStackBytes()));
    }

    private static ThreadFactory workerFactory(String routerName, long stackBytes) {
        AtomicInteger lastNumber = new AtomicInteger();
        return task -> {
            String name = routerName + "-worker-" + lastNumber.incrementAndGet();
            Thread thread = new Thread(null, task, name, stackBytes);
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Creates the executor of timeouts, which has a single thread. */
    static ScheduledThreadPoolExecutor timer(RouterConfig config) {
        return DaemonTimer.create(config.name() + "-front-timer");
    }
}
