package ashlink.decisions.api;

/** The state of an engine as reported by service discovery. */
public enum EndpointState {
    /** The engine accepts new queries. */
    READY,
    /** The engine finishes the queries in flight and accepts no new ones. */
    DRAINING,
    /** The engine was deregistered. */
    REMOVED
}
