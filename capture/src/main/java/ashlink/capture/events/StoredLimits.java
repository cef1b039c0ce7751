package ashlink.capture.events;

/** Limits that protect a reader against malformed data. */
final class StoredLimits {

    /** Maximum number of elements of a list, and maximum value of other small numbers. */
    static final int MAX_COUNT = 1 << 20;

    private StoredLimits() {}
}
