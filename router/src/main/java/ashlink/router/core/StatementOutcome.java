package ashlink.router.core;

/**
 * How a statement was answered. Ordinals are stored in the key log: constants are only appended.
 */
public enum StatementOutcome {
    /** The engine's complete response. */
    SERVED("served"),
    /** The engine's exception, or one of this router about the engine's response. */
    ERROR("error"),
    /** Rejected by the decision module; it did not run, and a retry is harmless. */
    REJECTED("refused"),
    /** Rejected before the decision module received it; a retry is harmless. */
    NOT_ADMITTED("turned away"),
    /** Failed, with no promise about its effect. */
    FAILED("failed"),
    /** The response broke off after its first part. */
    INCOMPLETE("broken"),
    /** Cancelled by the client. */
    CANCELLED("cancelled"),
    /** The client violated the protocol. */
    PROTOCOL_VIOLATION("bad input"),
    /** The client disconnected before an answer. */
    CLIENT_DISCONNECTED("gone");

    private final String label;

    StatementOutcome(String label) {
        this.label = label;
    }

    /** True if a repeat by the client is harmless; an idempotent statement may have run. */
    public boolean isRejection() {
        return this == REJECTED || this == NOT_ADMITTED;
    }

    /** The label in the HTTP interface and in logs. */
    public String label() {
        return label;
    }
}
