package ashlink.simulator;

import ashlink.config.flat.FieldException;

/** A line or a batch of the simulator violates the protocol. */
final class SimulatorProtocolException extends FieldException {

    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }

    /** A protocol violation at a line of the input, counted from 1. */
    SimulatorProtocolException(long lineNumber, FieldException cause) {
        super("line " + lineNumber + ": " + cause.getMessage());
        initCause(cause);
    }
}
