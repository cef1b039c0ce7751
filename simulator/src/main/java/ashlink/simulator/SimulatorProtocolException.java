package ashlink.simulator;

import ashlink.config.flat.FieldException;

/** A line or a batch that the wire does not allow. */
final class SimulatorProtocolException extends FieldException {

    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
