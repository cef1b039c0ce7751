package ashlink.simulator;

import ashlink.config.flat.FieldException;

/** Thrown if input from the simulator violates the protocol. */
final class SimulatorProtocolException extends FieldException {

    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }

    /** Creates an exception for a line of the input; line numbers start at 1. */
    SimulatorProtocolException(long lineNumber, FieldException cause) {
        super("line " + lineNumber + ": " + cause.getMessage());
        initCause(cause);
    }
}
