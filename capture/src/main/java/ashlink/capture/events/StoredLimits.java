package ashlink.capture.events;

/** Limits that protect a reader from damaged data. */
final class StoredLimits {

    /** Largest count of elements that a reader accepts. */
    static final int MAX_COUNT = 1 << 20;

    private StoredLimits() {}
}
