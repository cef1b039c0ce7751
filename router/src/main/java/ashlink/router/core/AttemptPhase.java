package ashlink.router.core;

/**
 * Progress of an attempt. The phase determines whether the engine may have executed the statement.
 */
public enum AttemptPhase {
    /** The attempt waits for a worker thread. */
    QUEUED,
    /** The attempt waits for a connection to the engine. */
    CONNECTING,
    /**
     * The statement is being written. The engine cannot execute it before the last byte is written.
     */
    SENDING,
    /**
     * The engine has the statement of an insert and a part of the data. The engine does not execute
     * the insert before it receives the end of the data.
     */
    SENDING_DATA,
    /** The end of the data of an insert is being written. */
    SENDING_DATA_END,
    /**
     * The engine has the complete statement and may have executed it in this phase and the next.
     */
    RUNNING,
    /**
     * A part of the response was written to the client, so no other attempt can provide the
     * response.
     */
    ANSWERING;

    /**
     * Returns true during a write after which the engine may execute the statement. An abort waits
     * for the end of such a write.
     */
    boolean isCompletingStatement() {
        return this == SENDING || this == SENDING_DATA_END;
    }

    /** Returns true if the engine has the complete statement or is about to have it. */
    boolean mayRunOrIsCompleting() {
        return mayRun() || isCompletingStatement();
    }

    /**
     * Returns true if an attempt in this phase sends, as its next step, something that leads to the
     * execution of the statement if the next phase is the given one.
     */
    boolean beginsToSend(AttemptPhase next) {
        return next == SENDING
                || next == SENDING_DATA_END
                || next == RUNNING && compareTo(SENDING) < 0;
    }

    /**
     * Returns false if the engine lacks a part of the statement and therefore cannot have executed
     * it.
     */
    public boolean mayRun() {
        return this == RUNNING || this == ANSWERING;
    }
}
