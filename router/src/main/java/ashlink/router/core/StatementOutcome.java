package ashlink.router.core;

/**
 * Outcome of a statement as its client sees it: the kind of response that the native protocol or
 * the HTTP interface sent. In contrast, {@link RequestCompletion} describes why the core completed
 * a request. Ordinals are stored in the idempotency key log, so new constants are only appended.
 */
public enum StatementOutcome {
    /** The client received the complete response of an engine. */
    SERVED("served"),
    /**
     * The client received an error of the engine, or an error of the router about the response of
     * the engine.
     */
    ERROR("error"),
    /**
     * The decision module rejected the statement. The statement was not executed or may be
     * repeated, so a retry is safe.
     */
    REJECTED("refused"),
    /**
     * The router rejected the statement before the decision module received it; a retry is safe.
     */
    NOT_ADMITTED("turned away"),
    /** The statement failed and may have taken effect. */
    FAILED("failed"),
    /** The client received only a part of the response. */
    INCOMPLETE("broken"),
    /** The client cancelled the statement. */
    CANCELLED("cancelled"),
    /** The client violated the protocol. */
    PROTOCOL_VIOLATION("bad input"),
    /** The client disconnected before the response was complete. */
    CLIENT_DISCONNECTED("gone");

    private final String label;

    StatementOutcome(String label) {
        this.label = label;
    }

    /**
     * Returns true if a retry by the client is safe. An idempotent statement may have been executed
     * even then.
     */
    public boolean isRejection() {
        return this == REJECTED || this == NOT_ADMITTED;
    }

    /** Returns the label used by the HTTP interface and in logs. */
    public String label() {
        return label;
    }
}
