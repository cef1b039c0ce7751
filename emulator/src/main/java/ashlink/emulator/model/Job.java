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
     * @param tableGroup number of the group of tables that the statement uses
     * @param locksTables whether the statement locks the tables
     * @param waitsForTableLocks whether the statement waits for locks on the tables
     */
    public record Demand(
            double workMs,
            int threads,
            double ioShare,
            double memoryMb,
            double grantMb,
            int priority,
            long tableGroup,
            boolean locksTables,
            boolean waitsForTableLocks) {}

    /** State of a job. */
    public enum State {
        WAITS_FOR_MEMORY,
        WAITS_FOR_TABLES,
        RUNS,
        DONE,
        CANCELLED
    }

    private final Demand demand;
    private final long sequence;
    private State state;
    private double remainingMs;
    private double grantedMb;

    Job(Demand demand, long sequence) {
        this.demand = demand;
        this.sequence = sequence;
        this.remainingMs = demand.workMs();
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

    double remainingMs() {
        return remainingMs;
    }

    double grantedMb() {
        return grantedMb;
    }

    void setState(State newState) {
        state = newState;
    }

    void setGrant(double grantMb, double spillCost) {
        grantedMb = grantMb;
        double missingFraction = Math.max(0, 1 - grantMb / Math.max(1e-9, demand.memoryMb()));
        remainingMs = demand.workMs() * (1 + spillCost * missingFraction);
    }

    void execute(double workMs) {
        remainingMs -= workMs;
    }
}
