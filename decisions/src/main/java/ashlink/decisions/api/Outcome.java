package ashlink.decisions.api;

/** How an attempt or a health check ended. */
public enum Outcome {
    /** The engine returned the complete result. */
    SERVED(true),
    /** The engine returned an error. */
    ERROR(true),
    /** The engine rejected the attempt without starting it. */
    REJECTED(false),
    /** No result arrived within the attempt's timeout. */
    TIMED_OUT(true),
    /** No connection to the engine could be established. */
    CONNECT_FAILED(false),
    /** The connection broke after the query had been sent. */
    RESET(true),
    /** The attempt was cancelled after the query had been sent. */
    CANCELLED(true),
    /** The attempt ended before the query was sent. */
    NOT_SENT(false);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns false if the outcome proves that the engine did not execute the attempt. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
