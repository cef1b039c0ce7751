package ashlink.loadtest.client;

/**
 * The end of a statement as seen by its client.
 *
 * @param kind kind of the end
 * @param code error code of the exception, 0 if there was none
 * @param message text of the exception or of the I/O error
 * @param rows number of rows in the blocks of the result
 * @param bytes bytes received
 * @param endNs time of the end, from {@link System#nanoTime}
 */
public record Reply(Kind kind, int code, String message, long rows, long bytes, long endNs) {

    /** Kinds of the end of a statement. */
    public enum Kind {
        /** The result was received completely. */
        SERVED,
        /** The server reported an error. */
        EXCEPTION,
        /** The connection failed or was closed. */
        LOST,
        /** The timeout of the client expired. */
        TIMED_OUT,
        /** The bytes received do not follow the protocol. */
        GARBLED
    }

    /** Returns whether the server sent a final answer: a complete result or an error. */
    public boolean isFinal() {
        return kind == Kind.SERVED || kind == Kind.EXCEPTION;
    }
}
