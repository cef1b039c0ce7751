package ashlink.decisions;

/** Drops the query of a client that disconnected; its attempt would serve nobody. */
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
     * Finishes the query of that number without an answer.
     *
     * @return whether there was one
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
