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
    REFUSED("refused"),
    /** Rejected before the decision module received it; a retry is harmless. */
    TURNED_AWAY("turned away"),
    /** Failed, with no promise about its effect. */
    FAILED("failed"),
    /** The response broke off after its first part. */
    BROKEN("broken"),
    /** Cancelled by the client. */
    CANCELLED("cancelled"),
    /** The client violated the protocol. */
    BAD_INPUT("bad input"),
    /** The client disconnected before an answer. */
    GONE("gone");

    private final String word;

    StatementOutcome(String word) {
        this.word = word;
    }

    /** True where the statement provably did not run. */
    public boolean isHarmless() {
        return this == REFUSED || this == TURNED_AWAY;
    }

    /** The word for it in the HTTP interface and in logs. */
    public String word() {
        return word;
    }
}
