package ashlink.background.plan;

/** How long after its time a run may be passed over by runs that came due later. */
public enum Priority {
    /** Upkeep on which service leans: expiry, the list. */
    HIGH(0),
    /** Upkeep that can wait a little: journals, retention. */
    NORMAL(2_000_000_000L),
    /** Work for people: reports. Not started under pressure, until it is late. */
    LOW(20_000_000_000L);

    private final long slackNs;

    Priority(long slackNs) {
        this.slackNs = slackNs;
    }

    /** That time, in nanoseconds. */
    public long slackNs() {
        return slackNs;
    }
}
