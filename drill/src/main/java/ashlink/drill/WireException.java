package ashlink.drill;

import ashlink.config.flat.FieldException;

/** A line or a batch that the wire does not allow. */
final class WireException extends FieldException {

    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
