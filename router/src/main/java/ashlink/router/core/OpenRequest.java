package ashlink.router.core;

import java.util.concurrent.Future;

/**
 * A request without a final answer, or whose attempt is still in flight. Its fields are read and
 * written by the decision thread alone.
 */
final class OpenRequest {

    final long id;
    final CoreRequest request;
    final ResponseSink sink;

    /** The attempt in flight, or null. */
    Attempt attempt;

    /** Number of attempts started. */
    int attempts;

    boolean answered;
    boolean mayHaveRun;

    /** Priority of the next attempt for the engine, -1 where the decision module chose none. */
    int priority = -1;

    /** Memory granted to the next attempt in MB, 0 where the decision module chose none. */
    long memoryMb;

    /** Fires at the client's deadline. */
    Future<?> deadlineTimer;

    OpenRequest(long id, CoreRequest request, ResponseSink sink) {
        this.id = id;
        this.request = request;
        this.sink = sink;
    }

    /** True where its attempt has begun to write the response. */
    boolean isAnswering() {
        return attempt != null && attempt.phase() == AttemptPhase.ANSWERING;
    }
}
