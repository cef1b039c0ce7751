package ashlink.background.plan;

/** Priority of a task: how long after its due time later runs may overtake it. */
public enum Priority {
    /** Upkeep that the service depends on, such as expiry and the endpoint list. */
    HIGH(0),
    /** Upkeep that can wait a little, such as journals and retention. */
    NORMAL(2_000_000_000L),
    /** Work for people, such as reports; under pressure postponed up to its longest delay. */
    LOW(20_000_000_000L);

    private final long slackNs;

    Priority(long slackNs) {
        this.slackNs = slackNs;
    }

    /** Time from the due time to the deadline by which runs are ordered, in nanoseconds. */
    public long slackNs() {
        return slackNs;
    }
}
