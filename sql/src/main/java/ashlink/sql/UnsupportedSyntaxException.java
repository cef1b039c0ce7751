package ashlink.sql;

/**
 * Thrown at syntax that the readers do not support. The exception ends the parsing of a text and
 * never leaves {@link StatementReader}, so it has no stack trace.
 */
final class UnsupportedSyntaxException extends RuntimeException {

    private static final long serialVersionUID = 1L;
    private final int offset;

    UnsupportedSyntaxException(String reason, int offset) {
        super(reason, null, false, false);
        this.offset = offset;
    }

    int offset() {
        return offset;
    }
}
