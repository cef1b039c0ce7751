package ashlink.config.flat;

/** A field is missing or not accepted; the message names its source, name and value. */
public class FieldException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** An exception with that message, which is shown to the writer of the field. */
    public FieldException(String message) {
        super(message);
    }
}
