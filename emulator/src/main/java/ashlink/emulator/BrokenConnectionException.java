package ashlink.emulator;

import java.io.IOException;

/** Ends a session because of an injected fault, a cancellation or a crash of the engine. */
final class BrokenConnectionException extends IOException {

    private static final long serialVersionUID = 1;

    BrokenConnectionException() {
        super("connection broken by the emulated engine", null);
    }
}
