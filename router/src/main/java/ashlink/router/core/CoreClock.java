package ashlink.router.core;

/**
 * Monotonic clock of the router, in nanoseconds. The clock starts well above 0, so that times
 * before the start of the process are positive too. Thread-safe.
 */
public final class CoreClock {

    /** Clock time at the start of the process, about 11.5 days. */
    public static final long START_NS = 1_000_000_000_000_000L;

    private final long originNanoTime = System.nanoTime() - START_NS;

    /** Returns the current time in nanoseconds. */
    public long nowNs() {
        return System.nanoTime() - originNanoTime;
    }
}
