package ashlink.decisions.api;

/** The kind of progress that a running attempt reports. */
public enum ProgressKind {
    /** Completed fraction of the work, 0 to 1. */
    FRACTION_DONE,
    /** Memory that the query lacks and therefore spills to disk, in MB. */
    SPILLED_MB,
    /** The resource that the query waits for: 1 for memory, 2 for a table lock. */
    WAITING
}
