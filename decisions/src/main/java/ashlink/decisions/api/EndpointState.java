package ashlink.decisions.api;

/** The state of an engine as service discovery reports it. */
public enum EndpointState {
    /** It accepts new queries. */
    READY,
    /** It finishes what is in flight and accepts nothing new. */
    DRAINING,
    /** It has been deregistered. */
    REMOVED
}
