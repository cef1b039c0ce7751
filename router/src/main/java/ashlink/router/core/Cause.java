package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Why an attempt ended. {@link #outcome} is the table of phases and causes in
 * docs/native-protocol.md.
 */
public enum Cause {
    /** The whole answer came. */
    SERVED,
    /** The engine answered with an error that is the statement's own: that is the answer. */
    STATEMENT_ERROR,
    /** The engine answered with an error of its own; another engine may do better. */
    ENGINE_ERROR,
    /** The engine said that it did not start the statement. */
    TURNED_AWAY,
    /** The engine said that the request was over when it came, so that it never ran. */
    NOT_WANTED,
    /**
     * This router had no thread or connection to spare, or what another attempt needs is no longer
     * kept.
     */
    NO_MEANS,
    /** The engine was told to drain, or left, before the first byte. */
    DRAINED,
    /** No connection could be made. */
    NO_CONNECTION,
    /** The connection broke, or its bytes made no sense. */
    BROKEN,
    /** The attempt's time was up. */
    TIMED_OUT,
    /** The module, or the client in the middle of its insert, called it off. */
    CALLED_OFF;

    /**
     * What the module is told; {@link Outcome#mayHaveRun} is true only from {@link Phase#RUNNING}
     * on.
     */
    public Outcome outcome(Phase phase) {
        return switch (this) {
            case SERVED -> Outcome.SERVED;
            case STATEMENT_ERROR -> phase.mayRun() ? Outcome.ERROR : Outcome.NOT_SENT;
            case ENGINE_ERROR -> phase.mayRun() ? Outcome.ERROR : Outcome.CONNECT_FAILED;
            case TURNED_AWAY -> phase == Phase.ANSWERING ? Outcome.RESET : Outcome.REJECTED;
            case NOT_WANTED -> phase == Phase.ANSWERING ? Outcome.RESET : Outcome.NOT_SENT;
            case NO_MEANS, DRAINED -> phase.mayRun() ? Outcome.RESET : Outcome.NOT_SENT;
            case NO_CONNECTION, BROKEN -> phase.mayRun() ? Outcome.RESET : Outcome.CONNECT_FAILED;
            case TIMED_OUT -> phase.mayRun() ? Outcome.TIMED_OUT : Outcome.NOT_SENT;
            case CALLED_OFF -> phase.mayRun() ? Outcome.CANCELLED : Outcome.NOT_SENT;
        };
    }

    /** True where the client has, or is being given, its final answer by the attempt itself. */
    boolean answers(Phase phase) {
        return this == SERVED || this == STATEMENT_ERROR || phase == Phase.ANSWERING;
    }
}
