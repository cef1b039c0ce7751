package ashlink.decisions;

/** Constants for times and durations in nanoseconds on the router's monotonic clock. */
final class Nanos {

    static final long PER_MS = 1_000_000L;

    /**
     * The time of what has not happened yet. It is half the least value, so that a difference from
     * it does not overflow.
     */
    static final long NEVER = Long.MIN_VALUE / 2;

    private Nanos() {}
}
