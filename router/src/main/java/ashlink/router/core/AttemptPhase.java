package ashlink.router.core;

/** How far an attempt has come, as far as it matters to whether its statement can have run. */
public enum AttemptPhase {
    /** Decided, and waiting for a thread. */
    QUEUED,
    /** Waiting for a connection to the engine. */
    CONNECTING,
    /** The statement is being written; until its last byte is handed over it cannot run. */
    SENDING,
    /**
     * An insert's statement is with the engine, and some of its data; without the end of the data
     * it does not run.
     */
    FEEDING,
    /** The end of an insert's data is being written. */
    ENDING,
    /** The engine has all it needs: from here on the statement may have run. */
    RUNNING,
    /** Bytes of the answer went to the client: no other attempt can answer. */
    ANSWERING;

    /**
     * True while a write decides whether the statement can run: who ends the attempt must wait for
     * it.
     */
    boolean isBeingWritten() {
        return this == SENDING || this == ENDING;
    }

    /**
     * False where the engine provably lacks something without which it does not run the statement.
     */
    public boolean mayRun() {
        return this == RUNNING || this == ANSWERING;
    }
}
