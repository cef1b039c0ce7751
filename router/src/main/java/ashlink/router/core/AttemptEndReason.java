package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Why an attempt ended. {@link #outcome} is the table of phases and causes in
 * docs/native-protocol.md.
 */
public enum AttemptEndReason {
    /** The whole answer came. */
    SERVED,
    /** The engine answered with an error that is the statement's own: that is the answer. */
    STATEMENT_ERROR,
    /** The engine answered with an error of its own; another engine may do better. */
    ENGINE_ERROR,
    /** The engine said that it did not start the statement. */
    REJECTED,
    /** The engine said that the request was over when it came, so that it never ran. */
    STALE_REQUEST,
    /**
     * This router had no thread or connection to spare, or what another attempt needs is no longer
     * kept.
     */
    NO_CAPACITY,
    /** The engine was told to drain, or left, before the first byte. */
    ENGINE_DRAINING,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The connection broke, or its bytes made no sense. */
    CONNECTION_BROKEN,
    /** The attempt's time was up. */
    TIMED_OUT,
    /** The module, or the client in the middle of its insert, called it off. */
    CANCELLED;

    /**
     * What the module is told; {@link Outcome#mayHaveRun} is true only from {@link
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

    /** True where the client has, or is being given, its final answer by the attempt itself. */
    boolean answers(AttemptPhase phase) {
        return this == SERVED || this == STATEMENT_ERROR || phase == AttemptPhase.ANSWERING;
    }
}
