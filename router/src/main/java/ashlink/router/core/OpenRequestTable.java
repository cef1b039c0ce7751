package ashlink.router.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open requests, by number. Only the decision thread uses the table; any thread may reserve a
 * place, claim the final response of a request, and read the count of requests without one.
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

    /**
     * Claims the final response of a request and records it. Returns false, without any effect, if
     * the response is claimed already.
     */
    boolean tryClaimResponse(OpenRequest openRequest, RequestCompletion completion) {
        if (!openRequest.tryClaimResponse()) {
            return false;
        }
        unansweredCount.decrementAndGet();
        metrics.onCompleted(openRequest.request.queryClass(), completion);
        return true;
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

    /** Returns a copy of the list of open requests. */
    List<OpenRequest> snapshot() {
        return new ArrayList<>(requests.values());
    }

    /** Removes a request if it has its final response and no attempt in flight. */
    void removeIfDone(OpenRequest openRequest) {
        if (openRequest.isAnswered() && openRequest.attempt == null) {
            requests.remove(openRequest.id);
        }
    }
}
