package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Reason for the end of an attempt. {@link #outcome} implements the table of phases and reasons in
 * docs/native-protocol.md.
 */
public enum AttemptEndReason {
    /** The complete response was received. */
    SERVED,
    /**
     * The engine returned an error that the statement itself caused; the error is the final
     * response.
     */
    STATEMENT_ERROR,
    /**
     * The engine returned an error that the statement did not cause; a retry on another engine may
     * succeed.
     */
    ENGINE_ERROR,
    /** The engine rejected the statement and did not start to execute it. */
    REJECTED,
    /**
     * The engine reported that the request had already ended when it arrived, so the statement was
     * not executed.
     */
    STALE_REQUEST,
    /**
     * The router had no free thread or connection, or no longer holds the data that a retry needs.
     */
    NO_CAPACITY,
    /** The engine started to drain or was deregistered before the first byte was sent. */
    ENGINE_DRAINING,
    /** The statement may not be sent again any more: engines may have forgotten its key. */
    REPEAT_WINDOW_ENDED,
    /** The connection to the engine could not be established. */
    CONNECT_FAILED,
    /** The connection was lost, or the engine violated the protocol. */
    CONNECTION_BROKEN,
    /** The attempt's timeout expired. */
    TIMED_OUT,
    /** The decision module cancelled the attempt, or the client cancelled its insert. */
    CANCELLED;

    /**
     * Returns the outcome to report to the decision module. {@link Outcome#mayHaveRun} is true only
     * for the phases from {@link AttemptPhase#RUNNING} on.
     */
    public Outcome outcome(AttemptPhase phase) {
        return switch (this) {
            case SERVED -> Outcome.SERVED;
            case STATEMENT_ERROR -> phase.mayRun() ? Outcome.ERROR : Outcome.NOT_SENT;
            case ENGINE_ERROR -> phase.mayRun() ? Outcome.ERROR : Outcome.CONNECT_FAILED;
            case REJECTED -> phase == AttemptPhase.ANSWERING ? Outcome.RESET : Outcome.REJECTED;
            case STALE_REQUEST ->
                    phase == AttemptPhase.ANSWERING ? Outcome.RESET : Outcome.NOT_SENT;
            case NO_CAPACITY, ENGINE_DRAINING, REPEAT_WINDOW_ENDED ->
                    phase.mayRun() ? Outcome.RESET : Outcome.NOT_SENT;
            case CONNECT_FAILED, CONNECTION_BROKEN ->
                    phase.mayRun() ? Outcome.RESET : Outcome.CONNECT_FAILED;
            case TIMED_OUT -> phase.mayRun() ? Outcome.TIMED_OUT : Outcome.NOT_SENT;
            case CANCELLED -> phase.mayRun() ? Outcome.CANCELLED : Outcome.NOT_SENT;
        };
    }

    /**
     * Returns true if the final response of the client comes from this attempt, completely or in
     * part.
     */
    boolean providesFinalResponse(AttemptPhase phase) {
        return this == SERVED || this == STATEMENT_ERROR || phase == AttemptPhase.ANSWERING;
    }
}
