package ashlink.router.core;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records how long work waits for the threads of the router. Logs the longest waits of all stages
 * when one of them is long, at most one line per second, so that the log of an overloaded router
 * tells which thread fell behind. Thread-safe; no method blocks.
 */
public final class DelayMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(DelayMonitor.class);

    /** Delays from this one on are logged. */
    static final long LOGGED_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

    /** A stage of the work: a queue or a thread. */
    public final class Stage {
        private final String name;
        private final AtomicLong maxDelayNs = new AtomicLong();

        private Stage(String name) {
            this.name = name;
        }

        /** Records that work waited for a time, in nanoseconds. */
        public void record(long delayNs) {
            if (delayNs > maxDelayNs.get()) {
                maxDelayNs.accumulateAndGet(delayNs, Math::max);
            }
            if (delayNs >= LOGGED_DELAY_NS) {
                logIfDue();
            }
        }

        /** Records the time since a time on the clock of the monitor. */
        public void recordSince(long startNs) {
            record(nowNs() - startNs);
        }

        /** Returns the current time on the clock of the monitor, in nanoseconds. */
        public long nowNs() {
            return clockNs.getAsLong();
        }

        private String takeMax() {
            return name + "=" + TimeUnit.NANOSECONDS.toMillis(maxDelayNs.getAndSet(0));
        }
    }

    private final LongSupplier clockNs;
    private final List<Stage> stages = new CopyOnWriteArrayList<>();
    private final AtomicLong lastLogNs;

    /**
     * Creates a monitor without stages.
     *
     * @param clockNs monotonic clock in nanoseconds
     */
    public DelayMonitor(LongSupplier clockNs) {
        this.clockNs = clockNs;
        lastLogNs = new AtomicLong(clockNs.getAsLong() - LOG_INTERVAL_NS);
    }

    /** Adds a stage. */
    public Stage stage(String name) {
        Stage stage = new Stage(name);
        stages.add(stage);
        return stage;
    }

    private void logIfDue() {
        long nowNs = clockNs.getAsLong();
        long lastNs = lastLogNs.get();
        if (nowNs - lastNs >= LOG_INTERVAL_NS && lastLogNs.compareAndSet(lastNs, nowNs)) {
            LOG.warn("router is overloaded, longest delays in ms: {}", takeMaxima());
        }
    }

    /** Returns the longest delays since the last call, as {@code stage=milliseconds}. */
    String takeMaxima() {
        return stages.stream().map(Stage::takeMax).collect(Collectors.joining(" "));
    }
}
