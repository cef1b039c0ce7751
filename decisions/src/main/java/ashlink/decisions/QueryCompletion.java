package ashlink.decisions;

import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;

/**
 * Rule "one final answer before the client gives up": the one place where an accepted query that no
 * engine served gets its answer, and where a query is removed. {@link SubmissionHandler} rejects
 * what it does not accept; the router answers by itself only if the decisions fail.
 */
final class QueryCompletion {

    /** Time before the deadline at which a query gets its answer. */
    private static final long ANSWER_MARGIN_NS = 60 * Nanos.PER_MS;

    private final long retryAfterNs;
    private final AdmissionQueue queue;
    private final ActiveQueries queries;
    private final KeyOrdering keyOrdering;
    private final ActionBuffer actions;

    /**
     * The completion of queries.
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

    /** Whether the client would give up before a later answer. */
    static boolean isAnswerDue(QueryState query, long nowNs) {
        return nowNs + ANSWER_MARGIN_NS >= query.deadlineNs;
    }

    /** Answers a queued query whose client is about to give up. */
    void finishIfDue(QueryState query, long nowNs) {
        if (queue.contains(query) && isAnswerDue(query, nowNs)) {
            finish(query);
        }
    }

    /** Rejects the query where a repeat by the client is harmless, else fails it. */
    void finish(QueryState query) {
        query.finished = true;
        boolean mayHaveRun = query.mayHaveRunOn != null;
        actions.add(
                query.spec.mayBeRejected(mayHaveRun)
                        ? new Reject(query.id, retryAfterNs)
                        : new Fail(query.id));
        removeIfDone(query);
    }

    /**
     * Removes a query that is finished and has no attempt in flight; its key's next has its turn.
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
