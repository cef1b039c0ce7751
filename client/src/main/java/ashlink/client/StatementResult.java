package ashlink.client;

/**
 * How a statement ended, as its client was told.
 *
 * @param status of the last answer, 0 where there was none
 * @param problem last part of the problem's type, empty where there was none
 * @param code of the engine's exception, 0 where there is none
 * @param retryAfterMs when to come back, 0 where that was not told
 * @param rows that were given
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

    /** Kinds of end. */
    public enum Kind {
        /** All rows were given. */
        SERVED,
        /** The server said what went wrong. */
        PROBLEM,
        /** The client's time was up. */
        TIMED_OUT,
        /** No connection: nothing was sent. */
        NOT_SENT,
        /** The connection broke, or the statement is not known any more. */
        LOST
    }

    /** True where the server said that repeating is harmless. */
    public boolean isRefused() {
        return kind == Kind.PROBLEM
                && (status == 503 && problem.equals("refused") || status == 429);
    }
}
