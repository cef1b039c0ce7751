package ashlink.router.failure;

import org.slf4j.Logger;

/**
 * Logs failures on threads that must go on. An error such as a full heap is often followed by
 * another one while the first is logged, which would end the thread. Thread-safe.
 */
public final class FailureLog {

    private static final String NOT_LOGGED = "a failure could not be logged";

    private FailureLog() {}

    /**
     * Logs a failure. Never throws.
     *
     * @param format the event and its values, with a placeholder for each value
     * @param arguments the values, and the failure last
     */
    public static void error(Logger logger, String format, Object... arguments) {
        try {
            logger.error(format, arguments);
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
