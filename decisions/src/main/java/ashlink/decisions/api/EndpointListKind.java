package ashlink.decisions.api;

/** How complete and how recent a list of endpoints is. */
public enum EndpointListKind {
    /** The complete list; it replaces the known endpoints. */
    SNAPSHOT,
    /** Changed endpoints only. */
    DELTA,
    /** A complete list that was stored before a restart. */
    CACHED,
    /** Service discovery did not answer. */
    UNAVAILABLE
}
