package ashlink.decisions.api;

/** What a second execution of a query does. */
public enum RetrySafety {
    /** Running it again has no further effect. */
    IDEMPOTENT,
    /** Engines drop a repeat that carries the same idempotency key, within a scope and a time. */
    DEDUPLICATED,
    /** It must not run twice. */
    AT_MOST_ONCE
}
