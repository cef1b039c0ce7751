package ashlink.sql;

/**
 * Thrown at syntax that the readers do not support. The exception ends the parsing of a text and
 * never leaves {@link StatementReader}, so it has no stack trace.
 */
final class UnsupportedSyntaxException extends RuntimeException {

    private static final long serialVersionUID = 1L;
    private final int at;

    UnsupportedSyntaxException(String reason, int at) {
        super(reason, null, false, false);
        this.at = at;
    }

    int at() {
        return at;
    }
}
