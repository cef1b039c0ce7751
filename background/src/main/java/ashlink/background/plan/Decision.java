package ashlink.background.plan;

/** What the planner wants done. */
public sealed interface Decision {

    /** Start a run of that task. */
    record Start(long run, String task) implements Decision {}

    /** Let a run that asked for it go on, with so much. */
    record Grant(long run, Resource resource, double amount) implements Decision {}

    /** Interrupt a run: its time is up, or it was cancelled. */
    record Interrupt(long run) implements Decision {}

    /**
     * A run did not heed its interrupt: its place goes to others, and its task rests until it ends.
     */
    record Abandon(long run) implements Decision {}

    /** A run that waited gave way to others, or to the stop. */
    record Drop(String task) implements Decision {}

    /** What runs are given in amounts. */
    enum Resource {
        /** Nanoseconds of processor time. */
        CPU,
        /** Bytes to and from the disk. */
        BYTES
    }
}
