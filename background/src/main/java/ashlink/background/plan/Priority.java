package ashlink.background.plan;

/** Priority of a task; defines for how long after the due time other tasks may go first. */
public enum Priority {
    /** Maintenance that the service depends on, such as expiry and the endpoint list. */
    HIGH(0),
    /** Maintenance that tolerates a short delay, such as journals and retention. */
    NORMAL(2_000_000_000L),
    /** Work for users, such as reports; postponed under pressure, up to the maximum delay. */
    LOW(20_000_000_000L);

    private final long slackNs;

    Priority(long slackNs) {
        this.slackNs = slackNs;
    }

    /** Returns the time from the due time to the deadline that orders tasks, in nanoseconds. */
    public long slackNs() {
        return slackNs;
    }
}
