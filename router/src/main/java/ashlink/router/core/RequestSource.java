package ashlink.router.core;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A peer that submits requests, such as a client connection. Sources take turns at the decision
 * thread, and no source takes the places of open requests that others need.
 */
public final class RequestSource {

    /** Submissions that wait for the decision thread. Guarded by the {@link DecisionQueue}. */
    final ArrayDeque<QueuedTask> waiting = new ArrayDeque<>();

    private final AtomicInteger unanswered = new AtomicInteger();

    /** Returns the number of requests without a final response. */
    int unansweredCount() {
        return unanswered.get();
    }

    void addUnanswered(int count) {
        unanswered.addAndGet(count);
    }
}
