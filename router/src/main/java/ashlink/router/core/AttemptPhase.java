package ashlink.router.core;

/** Progress of an attempt, as far as it decides whether its statement may have run. */
public enum AttemptPhase {
    /** Waiting for a thread. */
    QUEUED,
    /** Waiting for a connection to the engine. */
    CONNECTING,
    /** The statement is being written; until its last byte is written it cannot run. */
    SENDING,
    /**
     * The engine has an insert's statement and a part of its data; without the end of the data it
     * does not run.
     */
    FEEDING,
    /** The end of an insert's data is being written. */
    ENDING,
    /** The engine has the complete statement: from here on it may have run. */
    RUNNING,
    /** A part of the response was written to the client: no other attempt can answer. */
    ANSWERING;

    /**
     * True while a write is in progress after which the statement may run: an abort waits for its
     * end.
     */
    boolean isBeingWritten() {
        return this == SENDING || this == ENDING;
    }

    /** False where the engine cannot have run the statement, since it lacks a part of it. */
    public boolean mayRun() {
        return this == RUNNING || this == ANSWERING;
    }
}
