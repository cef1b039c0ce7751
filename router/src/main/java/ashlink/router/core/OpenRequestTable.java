package ashlink.router.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open requests, by number. Thread-safe, but for the methods that only the decision thread
 * calls.
 */
final class OpenRequestTable {

    private final Map<Long, OpenRequest> requests = new ConcurrentHashMap<>();
    private final AtomicInteger unansweredCount = new AtomicInteger();
    private final RequestMetrics metrics;

    OpenRequestTable(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts a request without a final response. Returns false, without any effect, if the limits
     * do not admit a further one of its source.
     */
    boolean tryReserve(RequestSource source, AdmissionLimits limits) {
        int openRequests = unansweredCount.getAndIncrement();
        if (!limits.mayOpen(openRequests, source.unansweredCount())) {
            unansweredCount.decrementAndGet();
            return false;
        }
        source.addUnanswered(1);
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
        openRequest.source.addUnanswered(-1);
        metrics.onCompleted(openRequest.request.queryClass(), completion);
        return true;
    }

    /**
     * Claims the final response of the request with the given number. Returns null if it is not
     * open or its response is claimed already.
     */
    OpenRequest tryClaimResponse(long id, RequestCompletion completion) {
        OpenRequest openRequest = requests.get(id);
        return openRequest != null && tryClaimResponse(openRequest, completion)
                ? openRequest
                : null;
    }

    /** Adds a request that {@link #tryReserve} has counted. */
    void add(OpenRequest openRequest) {
        requests.put(openRequest.id, openRequest);
    }

    /** Returns the request of the given number, or null if it is not open. */
    OpenRequest get(long id) {
        return requests.get(id);
    }

    // Called on the decision thread

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
