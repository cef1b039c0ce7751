package ashlink.decisions;

import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;

/**
 * Invariant "single final answer": the only place that answers an accepted query which no engine
 * served, and that removes queries. {@link SubmissionHandler} rejects queries that it does not
 * accept; the router sends an answer of its own only if the workload manager fails.
 */
final class QueryCompletion {

    /** Time before the client's deadline at which a query is answered. */
    private static final long ANSWER_MARGIN_NS = 60 * Nanos.PER_MS;

    private final long retryAfterNs;
    private final AdmissionQueue queue;
    private final ActiveQueries queries;
    private final KeyOrdering keyOrdering;
    private final ActionBuffer actions;

    /**
     * Creates the handler for the completion of queries.
     *
     * @param retryAfterNs the Retry-After of a rejection; 0 for none
     */
    QueryCompletion(
            long retryAfterNs,
            AdmissionQueue queue,
            ActiveQueries queries,
            KeyOrdering keyOrdering,
            ActionBuffer actions) {
        this.retryAfterNs = retryAfterNs;
        this.queue = queue;
        this.queries = queries;
        this.keyOrdering = keyOrdering;
        this.actions = actions;
    }

    /** Returns whether the query must be answered now to reach the client before its deadline. */
    static boolean isAnswerDue(QueryState query, long nowNs) {
        return nowNs + ANSWER_MARGIN_NS >= query.deadlineNs;
    }

    /** Answers a queued query whose deadline is near. */
    void finishIfDue(QueryState query, long nowNs) {
        if (queue.contains(query) && isAnswerDue(query, nowNs)) {
            finish(query);
        }
    }

    /** Rejects the query if the client may safely repeat it; otherwise fails it. */
    void finish(QueryState query) {
        query.finished = true;
        boolean mayHaveRun = query.mayHaveRunOn != null;
        actions.add(
                query.queryClass.mayBeRejected(mayHaveRun)
                        ? new Reject(query.id, retryAfterNs)
                        : new Fail(query.id));
        removeIfDone(query);
    }

    /**
     * Removes a query that is finished and has no attempt in flight, so that the next query of its
     * ordering key can run.
     */
    void removeIfDone(QueryState query) {
        if (!query.finished || query.isInFlight()) {
            return;
        }
        queue.remove(query);
        queries.remove(query);
        keyOrdering.remove(query);
    }
}
