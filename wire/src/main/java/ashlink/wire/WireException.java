package ashlink.wire;

import java.io.IOException;

/** Input that violates the protocol or a limit; the only exception that the codec throws for it. */
public final class WireException extends IOException {

    /** What was wrong. */
    public enum Reason {
        /** A value that the protocol does not allow where it stands. */
        MALFORMED,
        /** A length over a limit that the reader was given. */
        TOO_LARGE,
        /** A column type that this codec cannot find the end of. */
        UNKNOWN_TYPE,
        /** A compressed frame whose checksum does not fit its bytes. */
        CHECKSUM,
        /** The stream ended within a value. */
        TRUNCATED
    }

    private final Reason reason;

    /** An error at the current place of the stream. */
    public WireException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** What was wrong. */
    public Reason reason() {
        return reason;
    }
}
