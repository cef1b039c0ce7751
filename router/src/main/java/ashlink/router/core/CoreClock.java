package ashlink.router.core;

/**
 * The router's clock: nanoseconds that never go back, well above 0 so that times before the start
 * can be told.
 */
public final class CoreClock {

    /** What the clock shows at the start: eleven days and a half. */
    public static final long START_NS = 1_000_000_000_000_000L;

    private final long zero = System.nanoTime() - START_NS;

    /** The time now. */
    public long nowNs() {
        return System.nanoTime() - zero;
    }
}
