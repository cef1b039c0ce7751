package ashlink.router.core;

import java.util.concurrent.Future;

/**
 * A request that has no final response or still has an attempt in flight. Only the decision thread
 * reads and writes the mutable fields.
 */
final class OpenRequest {

    final long id;
    final CoreRequest request;
    final ResponseSink sink;

    /** Attempt in flight, or null. */
    Attempt attempt;

    /** Number of attempts started so far. */
    int startedAttempts;

    /** Whether the request has its final response. */
    boolean answered;

    /** Whether an engine may have executed the statement in an attempt that has ended. */
    boolean mayHaveRun;

    /** Priority of the next attempt on its engine, -1 if the decision module set none. */
    int priority = -1;

    /** Memory granted to the next attempt in MB, 0 if the decision module set none. */
    long memoryMb;

    /** Timer task that runs at the deadline of the client. */
    Future<?> deadlineTimer;

    OpenRequest(long id, CoreRequest request, ResponseSink sink) {
        this.id = id;
        this.request = request;
        this.sink = sink;
    }

    /** Returns true if the attempt in flight has started to write its response to the client. */
    boolean isResponding() {
        return attempt != null && attempt.phase() == AttemptPhase.ANSWERING;
    }
}
