package ashlink.router.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open requests, by number. Only the decision thread uses the table; any thread may reserve a
 * place and read the count of requests without a final response.
 */
final class OpenRequestTable {

    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private final AtomicInteger unansweredCount = new AtomicInteger();
    private final RequestMetrics metrics;

    OpenRequestTable(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    // Called on any thread

    /**
     * Increments the count of requests without a final response; returns false, and leaves the
     * count unchanged, if the limit is reached.
     */
    boolean tryReserve(int limit) {
        if (unansweredCount.incrementAndGet() > limit) {
            unansweredCount.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Returns the number of requests without a final response. */
    int unansweredCount() {
        return unansweredCount.get();
    }

    // Called on the decision thread

    /** Adds a request that {@link #tryReserve} has counted. */
    void add(OpenRequest openRequest) {
        requests.put(openRequest.id, openRequest);
    }

    /** Returns the request of the given number, or null if it is not open. */
    OpenRequest get(long id) {
        return requests.get(id);
    }

    /**
     * Returns the request of the given number, or null if it is not open or has its final response.
     */
    OpenRequest unanswered(long id) {
        OpenRequest openRequest = requests.get(id);
        return openRequest == null || openRequest.answered ? null : openRequest;
    }

    /** Returns a copy of the list of open requests. */
    List<OpenRequest> snapshot() {
        return new ArrayList<>(requests.values());
    }

    /**
     * Records the final response of a request, and removes the request unless an attempt is in
     * flight.
     */
    void markAnswered(OpenRequest openRequest, RequestCompletion completion) {
        openRequest.answered = true;
        openRequest.deadlineTimer.cancel(false);
        unansweredCount.decrementAndGet();
        metrics.onCompleted(openRequest.request.queryClass(), completion);
        if (openRequest.attempt == null) {
            remove(openRequest);
        }
    }

    /** Removes a request that has its final response and no attempt in flight. */
    void remove(OpenRequest openRequest) {
        requests.remove(openRequest.id);
    }
}
