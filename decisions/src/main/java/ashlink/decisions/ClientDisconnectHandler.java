package ashlink.decisions;

/** Drops the query of a disconnected client, because nobody waits for its result. */
final class ClientDisconnectHandler {

    private final ActiveQueries queries;
    private final AttemptCanceller canceller;
    private final QueryCompletion completion;

    ClientDisconnectHandler(
            ActiveQueries queries, AttemptCanceller canceller, QueryCompletion completion) {
        this.queries = queries;
        this.canceller = canceller;
        this.completion = completion;
    }

    /**
     * Finishes the query with the given identifier without an answer, and cancels its attempt if
     * possible.
     *
     * @return whether the query was known
     */
    boolean onDisconnected(long queryId) {
        QueryState query = queries.find(queryId);
        if (query == null) {
            return false;
        }
        if (query.isInFlight() && canceller.mayCancel(query)) {
            canceller.cancel(query);
        }
        query.finished = true;
        completion.removeIfDone(query);
        return true;
    }
}
