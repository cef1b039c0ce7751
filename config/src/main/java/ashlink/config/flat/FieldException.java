package ashlink.config.flat;

/** Thrown for a missing or invalid field; the message contains the source, name and value. */
public class FieldException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that is shown to the author of the field. */
    public FieldException(String message) {
        super(message);
    }
}
