package ashlink.router.core;

import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request that has no final response or still has an attempt in flight. The final response is
 * claimed once, by any thread; the other mutable fields are written by the decision thread only.
 */
final class OpenRequest {

    final long id;
    final RequestSource source;
    final CoreRequest request;
    final ResponseSink sink;

    /** Deadline of the client, on the clock of the core. */
    final long deadlineNs;

    /** Attempt in flight, or null. */
    volatile Attempt attempt;

    /**
     * Whether an engine may have executed the statement in an attempt that has ended. Written
     * before the attempt is removed, so that a thread that reads the attempt first misses neither.
     */
    volatile boolean mayHaveRun;

    /** Start of the first attempt in which it may have; used only by the decision thread. */
    long mayHaveRunSinceNs;

    /** Number of attempts started so far. */
    int startedAttempts;

    /** Priority of the next attempt on its engine, -1 if the decision module set none. */
    int priority = -1;

    /** Memory granted to the next attempt in MB, 0 if the decision module set none. */
    long memoryMb;

    /** The submission that waits for the decision thread, or null before it is queued. */
    volatile QueuedTask submission;

    private final AtomicBoolean answered = new AtomicBoolean();
    private volatile Future<?> deadlineTimer;

    OpenRequest(
            long id,
            RequestSource source,
            CoreRequest request,
            ResponseSink sink,
            long deadlineNs) {
        this.id = id;
        this.source = source;
        this.request = request;
        this.sink = sink;
        this.deadlineNs = deadlineNs;
    }

    /** Sets the timer task that runs at the deadline of the client. */
    void setDeadlineTimer(Future<?> timer) {
        deadlineTimer = timer;
        if (isAnswered()) {
            timer.cancel(false);
        }
    }

    /** Returns whether the final response of the request is claimed. */
    boolean isAnswered() {
        return answered.get();
    }

    /**
     * Claims the final response. Returns true on the first call; the caller then responds, unless
     * the client is gone or an attempt responds.
     */
    boolean tryClaimResponse() {
        if (!answered.compareAndSet(false, true)) {
            return false;
        }
        Future<?> timer = deadlineTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        return true;
    }

    /**
     * Returns whether an engine may have executed the statement. Also returns true while the part
     * of the statement is being written after which the engine may execute it.
     */
    boolean mayHaveRunOrRuns() {
        Attempt current = attempt;
        return current != null && current.phase().mayRunOrIsCompleting() || mayHaveRun;
    }
}
