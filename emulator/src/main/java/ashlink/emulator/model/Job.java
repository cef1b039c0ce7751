package ashlink.emulator.model;

/** A statement that an engine executes. */
public final class Job {

    /**
     * Resources that a statement needs.
     *
     * @param workMs processor time at normal speed, in milliseconds
     * @param threads threads that execute the statement
     * @param ioShare fraction of the work that reads from or writes to disk
     * @param memoryMb memory that the statement needs to run without spilling
     * @param grantMb memory that the client requests; 0 leaves the grant to the engine
     * @param priority scheduling priority, 0 (lowest) to 3
     * @param tables group of tables that the statement uses
     * @param holds whether the statement locks the tables
     * @param waits whether the statement waits for locks on the tables
     */
    public record Demand(
            double workMs,
            int threads,
            double ioShare,
            double memoryMb,
            double grantMb,
            int priority,
            long tables,
            boolean holds,
            boolean waits) {}

    /** State of a job. */
    public enum State {
        WAITS_FOR_MEMORY,
        WAITS_FOR_TABLES,
        RUNS,
        DONE,
        DROPPED
    }

    private final Demand demand;
    private final long sequence;
    private State state;
    private double leftMs;
    private double grantedMb;

    Job(Demand demand, long sequence) {
        this.demand = demand;
        this.sequence = sequence;
        this.leftMs = demand.workMs();
    }

    /** Returns the resources that the job needs. */
    public Demand demand() {
        return demand;
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    long sequence() {
        return sequence;
    }

    double leftMs() {
        return leftMs;
    }

    double grantedMb() {
        return grantedMb;
    }

    void state(State s) {
        state = s;
    }

    void grant(double mb, double spill) {
        grantedMb = mb;
        double lacks = Math.max(0, 1 - mb / Math.max(1e-9, demand.memoryMb()));
        leftMs = demand.workMs() * (1 + spill * lacks);
    }

    void work(double ms) {
        leftMs -= ms;
    }
}
