package ashlink.decisions.api;

/** The effect of executing a query a second time. */
public enum RetrySafety {
    /** A second execution has no further effect. */
    IDEMPOTENT,
    /** Engines drop a repeat with the same idempotency key, within a scope and a time window. */
    DEDUPLICATED,
    /** The query must not be executed twice. */
    AT_MOST_ONCE
}
