package ashlink.decisions;

/** Constants for times and durations in nanoseconds on the router's monotonic clock. */
final class Nanos {

    static final long PER_MS = 1_000_000L;

    /**
     * The time of an event that has not happened yet. Half of the smallest value, so that
     * subtracting it from a time does not overflow.
     */
    static final long NEVER = Long.MIN_VALUE / 2;

    private Nanos() {}
}
