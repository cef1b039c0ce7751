package ashlink.decisions.api;

/** The completeness and freshness of an endpoint list. */
public enum EndpointListKind {
    /** The complete list; it replaces the known endpoints. */
    SNAPSHOT,
    /** Changed endpoints only. */
    DELTA,
    /** A complete list that was stored before a restart of the router. */
    CACHED,
    /** No list, because service discovery did not answer. */
    UNAVAILABLE
}
