package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.wire.ServerError;

/**
 * The outcome of a statement with the data of its response.
 *
 * @param error error of the engine or the router, or null
 * @param retryAfterNs time after which the client may retry; 0 for none
 */
record StatementCompletion(StatementOutcome outcome, ServerError error, long retryAfterNs) {

    /** Returns whether the statement has a result. */
    boolean hasResult() {
        return outcome == StatementOutcome.SERVED;
    }

    /** Returns the problem that clients receive instead of a result. */
    ProblemDetail problem() {
        return ProblemDetail.of(outcome, error, retryAfterNs);
    }

    /** Returns the name of the state in the API. */
    String stateName() {
        return switch (outcome) {
            case SERVED -> "finished";
            case CLIENT_DISCONNECTED -> "abandoned";
            default -> outcome.label();
        };
    }
}
