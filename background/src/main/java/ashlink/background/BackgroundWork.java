package ashlink.background;

/** The body of a background task. */
@FunctionalInterface
public interface BackgroundWork {

    /**
     * Does the work of one run, on a thread of its own. Calls the lease at safe points, and returns
     * soon after an interrupt.
     *
     * @throws Exception if the run fails; the scheduler counts and logs it, and a periodic task is
     *     run again after a backoff
     */
    void run(Lease lease) throws Exception;
}
