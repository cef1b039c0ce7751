package ashlink.client;

/**
 * The outcome of a statement from the point of view of the client.
 *
 * @param kind kind of the outcome
 * @param status HTTP status of the last response; 0 if there was none
 * @param problem last path segment of the problem type; empty if there was no problem
 * @param detail description of the problem or of the connection failure
 * @param code error code of the engine; 0 if there was none
 * @param retryAfterMs delay before a retry in milliseconds; 0 if the server sent none
 * @param rows number of rows received
 * @param bytes size of all response bodies received
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

    /** Kind of the outcome. */
    public enum Kind {
        /** The client received all rows of the result. */
        SERVED,
        /** The server responded with a problem description. */
        PROBLEM,
        /** The client's timeout elapsed before the statement ended. */
        TIMED_OUT,
        /** No connection could be established; nothing was sent. */
        NOT_SENT,
        /** The connection failed, or the server no longer knows the statement. */
        LOST
    }

    /** Returns true if the server rejected the statement, so that a retry is safe. */
    public boolean isRejected() {
        return kind == Kind.PROBLEM
                && (status == 503 && problem.equals("refused") || status == 429);
    }
}
