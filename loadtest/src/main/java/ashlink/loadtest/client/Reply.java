package ashlink.loadtest.client;

/**
 * How a statement ended, as its client saw it.
 *
 * @param code of the exception, 0 where there was none
 * @param rows in blocks of the result
 */
public record Reply(Kind kind, int code, String message, long rows, long bytes, long endNs) {

    /** Kinds of end. */
    public enum Kind {
        SERVED,
        EXCEPTION,
        LOST,
        TIMED_OUT,
        GARBLED
    }

    /** True for a final answer: the client knows where it stands. */
    public boolean isFinal() {
        return kind == Kind.SERVED || kind == Kind.EXCEPTION;
    }
}
