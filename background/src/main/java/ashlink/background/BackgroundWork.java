package ashlink.background;

/** The code that a background task executes on each run. */
@FunctionalInterface
public interface BackgroundWork {

    /**
     * Executes one run on a dedicated thread. An implementation calls {@link Lease#checkpoint} at
     * regular intervals and returns soon after an interrupt.
     *
     * @param lease grants processor time and disk traffic to this run
     * @throws Exception if the run fails; the scheduler counts and logs the failure, and runs a
     *     periodic task again after a backoff
     */
    void run(Lease lease) throws Exception;
}
