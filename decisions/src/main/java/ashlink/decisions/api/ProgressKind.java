package ashlink.decisions.api;

/** What a progress message of a running attempt reports. */
public enum ProgressKind {
    /** The fraction of the work that is done, 0 to 1. */
    FRACTION_DONE,
    /** Memory that the query lacks and spills to disk, in MB. */
    SPILLED_MB,
    /** The query waits for a resource: 1 for memory, 2 for a table lock. */
    WAITING
}
