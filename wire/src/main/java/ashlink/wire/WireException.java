package ashlink.wire;

import java.io.IOException;

/**
 * Thrown for input that violates the protocol or a limit; the codec throws no other exception for
 * invalid input.
 */
public final class WireException extends IOException {

    /** What was wrong. */
    public enum Reason {
        /** A value that the protocol does not allow at this place. */
        MALFORMED,
        /** A length or count above a limit. */
        TOO_LARGE,
        /** A column type whose layout this codec does not know. */
        UNKNOWN_TYPE,
        /** A compressed frame whose checksum does not match its content. */
        CHECKSUM,
        /** A stream that ends within a value. */
        TRUNCATED
    }

    private final Reason reason;

    /** Creates an exception for an error at the current position of the stream. */
    public WireException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** What was wrong. */
    public Reason reason() {
        return reason;
    }
}
