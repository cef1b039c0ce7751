package ashlink.background.plan;

/** An action that the planner decided on; the scheduler carries it out. */
public sealed interface Decision {

    /** Start a run of the task. */
    record Start(long run, String task) implements Decision {}

    /** Let the run that requested the resource go on, with this amount of it. */
    record Grant(long run, Resource resource, double amount) implements Decision {}

    /** Interrupt a run: it reached its time limit, or its task was cancelled. */
    record Interrupt(long run) implements Decision {}

    /**
     * A run ignored its interrupt: its slot is free for others, and its task is not started again
     * until the run ends.
     */
    record Abandon(long run) implements Decision {}

    /** A queued run was evicted, by more important ones or by the stop. */
    record Drop(String task) implements Decision {}

    /** A resource that runs request in amounts. */
    enum Resource {
        /** Nanoseconds of processor time. */
        CPU,
        /** Bytes to and from the disk. */
        BYTES
    }
}
