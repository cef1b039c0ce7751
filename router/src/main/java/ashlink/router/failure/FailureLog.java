package ashlink.router.failure;

import org.slf4j.Logger;

/**
 * Logs failures on threads that must go on. An error such as a full heap is often followed by
 * another one while the first is logged, which would end the thread. Thread-safe.
 */
public final class FailureLog {

    private static final String NOT_LOGGED = "a failure could not be logged";

    private FailureLog() {}

    /** Logs a failure. Never throws. */
    public static void error(Logger logger, String message, Throwable failure) {
        try {
            logger.error(message, failure);
        } catch (RuntimeException | Error e) {
            reportLostLine();
        }
    }

    private static void reportLostLine() {
        try {
            System.err.println(NOT_LOGGED);
        } catch (RuntimeException | Error ignored) {
            // There is nothing left to report with.
        }
    }
}
