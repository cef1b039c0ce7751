package ashlink.config.flat;

/**
 * A field that is missing or cannot be read; the message names it, its value and what is accepted.
 */
public class FieldException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** With a message for whoever wrote the field. */
    public FieldException(String message) {
        super(message);
    }
}
