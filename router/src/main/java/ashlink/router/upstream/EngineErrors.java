package ashlink.router.upstream;

import ashlink.router.core.AttemptEndReason;
import java.util.Set;

/**
 * What an engine's error says of the attempt. An error that is the statement's own (its text, its
 * rights, its data) is the answer: another engine would say the same. Numbers are those of the
 * public list of error codes.
 */
public final class EngineErrors {

    /** The engine says that it has not started the statement. */
    private static final Set<Integer> TURNED_AWAY =
            Set.of(202 /* too many simultaneous queries */, 745 /* overloaded */);

    /**
     * Trouble of the engine or behind it: time-outs, network, memory, shutdown, coordination,
     * unnamed exceptions.
     */
    private static final Set<Integer> ENGINE =
            Set.of(
                    3, 32, 74, 75, 76, 159, 164, 198, 209, 210, 225, 236, 241, 242, 243, 252, 279,
                    319, 394, 425, 499, 722, 999, 1000, 1001, 1002);

    private EngineErrors() {}

    /** What ended an attempt that was answered with that code. */
    public static AttemptEndReason cause(int code) {
        return TURNED_AWAY.contains(code)
                ? AttemptEndReason.REJECTED
                : ENGINE.contains(code)
                        ? AttemptEndReason.ENGINE_ERROR
                        : AttemptEndReason.STATEMENT_ERROR;
    }
}
