package ashlink.router.core;

/**
 * The router's monotonic clock, in nanoseconds. It starts well above 0, so that times before the
 * start of the process are positive too. Thread-safe.
 */
public final class CoreClock {

    /** Time at the start of the process: eleven days and a half. */
    public static final long START_NS = 1_000_000_000_000_000L;

    private final long originNanoTime = System.nanoTime() - START_NS;

    /** The current time in nanoseconds. */
    public long nowNs() {
        return System.nanoTime() - originNanoTime;
    }
}
