package ashlink.router.upstream;

import ashlink.router.core.AttemptEndReason;
import java.util.Set;

/**
 * Classifies the error codes of engines. An error of the statement itself, such as its syntax, its
 * permissions or its data, is the response: another engine would return the same. Codes are those
 * of the public list of the native protocol.
 */
public final class EngineErrors {

    /** The engine did not start the statement. */
    private static final Set<Integer> REJECTIONS =
            Set.of(202 /* too many simultaneous queries */, 745 /* overloaded */);

    /**
     * Faults of the engine or its dependencies: timeouts, network, memory, shutdown, coordination,
     * unnamed exceptions.
     */
    private static final Set<Integer> ENGINE_FAULTS =
            Set.of(
                    3, 32, 74, 75, 76, 159, 164, 198, 209, 210, 225, 236, 241, 242, 243, 252, 279,
                    319, 394, 425, 499, 722, 999, 1000, 1001, 1002);

    private EngineErrors() {}

    /** Returns why an attempt ended whose response was an error with that code. */
    public static AttemptEndReason reason(int code) {
        if (REJECTIONS.contains(code)) {
            return AttemptEndReason.REJECTED;
        }
        return ENGINE_FAULTS.contains(code)
                ? AttemptEndReason.ENGINE_ERROR
                : AttemptEndReason.STATEMENT_ERROR;
    }
}
