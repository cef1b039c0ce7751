package ashlink.decisions.api;

/** The set of engines that share the idempotency keys of a deduplicated query. */
public enum DeduplicationScope {
    /** All engines. */
    ALL,
    /** The engines of one zone. */
    ZONE,
    /** The engines of one cell. */
    CELL
}
