package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Why an attempt ended. {@link #outcome} implements the table of phases and reasons in
 * docs/native-protocol.md.
 */
public enum AttemptEndReason {
    /** The complete response was received. */
    SERVED,
    /** The engine answered with an error of the statement itself, which is the final answer. */
    STATEMENT_ERROR,
    /** The engine answered with an error of its own; a retry on another engine may succeed. */
    ENGINE_ERROR,
    /** The engine rejected the statement and did not start it. */
    REJECTED,
    /** The engine reported that the request had ended when it arrived, so that it never ran. */
    STALE_REQUEST,
    /**
     * This router had no free thread or connection, or no longer has the data that a retry needs.
     */
    NO_CAPACITY,
    /** The engine began to drain, or was deregistered, before the first byte was sent. */
    ENGINE_DRAINING,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The connection broke, or the engine violated the protocol. */
    CONNECTION_BROKEN,
    /** The attempt's timeout expired. */
    TIMED_OUT,
    /** Cancelled by the decision module, or by the client during its insert. */
    CANCELLED;

    /**
     * The outcome for the decision module; {@link Outcome#mayHaveRun} is true only from {@link
     * AttemptPhase#RUNNING} on.
     */
    public Outcome outcome(AttemptPhase phase) {
        return switch (this) {
            case SERVED -> Outcome.SERVED;
            case STATEMENT_ERROR -> phase.mayRun() ? Outcome.ERROR : Outcome.NOT_SENT;
            case ENGINE_ERROR -> phase.mayRun() ? Outcome.ERROR : Outcome.CONNECT_FAILED;
            case REJECTED -> phase == AttemptPhase.ANSWERING ? Outcome.RESET : Outcome.REJECTED;
            case STALE_REQUEST ->
                    phase == AttemptPhase.ANSWERING ? Outcome.RESET : Outcome.NOT_SENT;
            case NO_CAPACITY, ENGINE_DRAINING -> phase.mayRun() ? Outcome.RESET : Outcome.NOT_SENT;
            case CONNECT_FAILED, CONNECTION_BROKEN ->
                    phase.mayRun() ? Outcome.RESET : Outcome.CONNECT_FAILED;
            case TIMED_OUT -> phase.mayRun() ? Outcome.TIMED_OUT : Outcome.NOT_SENT;
            case CANCELLED -> phase.mayRun() ? Outcome.CANCELLED : Outcome.NOT_SENT;
        };
    }

    /** True where the attempt itself gave, or is giving, the client its final answer. */
    boolean answers(AttemptPhase phase) {
        return this == SERVED || this == STATEMENT_ERROR || phase == AttemptPhase.ANSWERING;
    }
}
