package ashlink.emulator.model;

/** A statement that an engine works on. */
public final class Job {

    /** What a statement asks of an engine; {@code grantMb} 0 is the engine's own choice. */
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

    /** Where a job stands. */
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

    /** What it asks. */
    public Demand demand() {
        return demand;
    }

    /** Where it stands. */
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
