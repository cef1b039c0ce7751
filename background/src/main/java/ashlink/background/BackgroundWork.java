package ashlink.background;

/** What a task does in a run. */
@FunctionalInterface
public interface BackgroundWork {

    /** Does it; asks the lease at safe points, and ends soon once it is interrupted. */
    void run(Lease lease) throws Exception;
}
