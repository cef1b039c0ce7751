package ashlink.background.plan;

/** An action that the planner decided on and that the scheduler executes. */
public sealed interface Decision {

    /** Starts a run of the task. */
    record Start(long run, String task) implements Decision {}

    /** Grants this amount of a resource to the run that requested it, which then continues. */
    record Grant(long run, Resource resource, double amount) implements Decision {}

    /** Interrupts a run that reached its time limit or whose task was cancelled. */
    record Interrupt(long run) implements Decision {}

    /**
     * Abandons a run that ignored an interrupt: the slot of the run becomes free for other tasks,
     * and the task of the run is not started again until the run ends.
     */
    record Abandon(long run) implements Decision {}

    /** Evicts a queued task, because of a task of higher priority or because of the stop. */
    record Evict(String task) implements Decision {}

    /** A budgeted resource that runs request in amounts. */
    enum Resource {
        /** Nanoseconds of processor time. */
        CPU,
        /** Bytes read from and written to the disk. */
        BYTES
    }
}
