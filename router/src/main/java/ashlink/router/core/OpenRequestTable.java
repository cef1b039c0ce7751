package ashlink.router.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open requests by number. The table belongs to the decision thread; the count of requests
 * without a final answer may be reserved and read by any thread.
 */
final class OpenRequestTable {

    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private final AtomicInteger unansweredCount = new AtomicInteger();
    private final RequestMetrics metrics;

    OpenRequestTable(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    // Any thread.

    /** Counts one more request, unless the limit is reached; false where it is. */
    boolean tryReserve(int limit) {
        if (unansweredCount.incrementAndGet() > limit) {
            unansweredCount.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Requests without a final answer. */
    int unansweredCount() {
        return unansweredCount.get();
    }

    // The decision thread.

    /** Adds a request that was counted by {@link #tryReserve}. */
    void add(OpenRequest openRequest) {
        requests.put(openRequest.id, openRequest);
    }

    /** The request of that number, or null where it is not open. */
    OpenRequest get(long id) {
        return requests.get(id);
    }

    /** The request of that number, or null where it is not open or has its final answer. */
    OpenRequest unanswered(long id) {
        OpenRequest openRequest = requests.get(id);
        return openRequest == null || openRequest.answered ? null : openRequest;
    }

    /** A copy of all open requests. */
    List<OpenRequest> snapshot() {
        return new ArrayList<>(requests.values());
    }

    /** Records that a request has its final answer, and removes it once no attempt is in flight. */
    void markAnswered(OpenRequest openRequest, FinalAnswer answer) {
        openRequest.answered = true;
        openRequest.deadlineTimer.cancel(false);
        unansweredCount.decrementAndGet();
        metrics.onAnswered(openRequest.request.queryClass(), answer);
        if (openRequest.attempt == null) {
            remove(openRequest);
        }
    }

    /** Removes a request that is answered and has no attempt in flight. */
    void remove(OpenRequest openRequest) {
        requests.remove(openRequest.id);
    }
}
