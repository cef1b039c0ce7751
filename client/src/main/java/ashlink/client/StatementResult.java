package ashlink.client;

/**
 * How a statement ended, as its client saw it.
 *
 * @param kind what the client received
 * @param status HTTP status of the last response; 0 if there was none
 * @param problem last part of the problem's type; empty if there was none
 * @param detail description of the problem or of the connection's failure
 * @param code code of the engine's exception; 0 if there was none
 * @param retryAfterMs time after which to retry; 0 if the server named none
 * @param rows rows received
 * @param bytes bytes of response bodies received
 */
public record StatementResult(
        Kind kind,
        int status,
        String problem,
        String detail,
        int code,
        long retryAfterMs,
        long rows,
        long bytes) {

    /** What the client received at the end. */
    public enum Kind {
        /** All rows of the result. */
        SERVED,
        /** A problem description of the server. */
        PROBLEM,
        /** Nothing within the client's timeout. */
        TIMED_OUT,
        /** No connection could be made; nothing was sent. */
        NOT_SENT,
        /** The connection broke, or the statement is not known any more. */
        LOST
    }

    /** Whether the server rejected the statement, so that a retry is harmless. */
    public boolean isRejected() {
        return kind == Kind.PROBLEM
                && (status == 503 && problem.equals("refused") || status == 429);
    }
}
