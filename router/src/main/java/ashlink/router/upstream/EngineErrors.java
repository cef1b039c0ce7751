package ashlink.router.upstream;

import ashlink.router.core.AttemptEndReason;
import java.util.Set;

/**
 * Classifies the error codes of engines. An error that the statement itself causes, such as a
 * syntax error, a missing permission or invalid data, is the final response, because another engine
 * would return the same error. The codes are those of the public list of the native protocol.
 */
public final class EngineErrors {

    /** Codes with which an engine rejects a statement without starting it. */
    private static final Set<Integer> REJECTIONS =
            Set.of(202 /* too many simultaneous queries */, 745 /* overloaded */);

    /**
     * Codes for failures of the engine or of services that it depends on: timeouts, network,
     * memory, shutdown, coordination, unnamed exceptions.
     */
    private static final Set<Integer> ENGINE_FAULTS =
            Set.of(
                    3, 32, 74, 75, 76, 159, 164, 198, 209, 210, 225, 236, 241, 242, 243, 252, 279,
                    319, 394, 425, 499, 722, 999, 1000, 1001, 1002);

    private EngineErrors() {}

    /**
     * Returns the reason for the end of an attempt to which the engine responded with the given
     * error code.
     */
    public static AttemptEndReason reason(int code) {
        if (REJECTIONS.contains(code)) {
            return AttemptEndReason.REJECTED;
        }
        return ENGINE_FAULTS.contains(code)
                ? AttemptEndReason.ENGINE_ERROR
                : AttemptEndReason.STATEMENT_ERROR;
    }
}
