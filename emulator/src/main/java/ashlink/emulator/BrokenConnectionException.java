package ashlink.emulator;

import java.io.IOException;

/** Signals that the connection breaks because of an injected fault, a cancel or a crash. */
final class BrokenConnectionException extends IOException {

    private static final long serialVersionUID = 1;

    BrokenConnectionException() {
        super("connection broken by the emulated engine", null);
    }
}
