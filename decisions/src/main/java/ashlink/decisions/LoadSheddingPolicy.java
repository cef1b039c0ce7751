package ashlink.decisions;

/**
 * Sheds queued queries that will miss their latency objective if other queries need the capacity or
 * a late answer has no value. A late query that is kept has its weight lowered to the late weight.
 * Also answers queued queries whose deadline is near.
 */
final class LoadSheddingPolicy {

    /** Time in the queue after which a query counts as waiting for capacity. */
    private static final long CONTENDED_AFTER_NS = MaintenanceTask.INTERVAL_NS;

    private final AdmissionQueue queue;
    private final KeyOrdering keyOrdering;
    private final QueryCompletion completion;

    LoadSheddingPolicy(AdmissionQueue queue, KeyOrdering keyOrdering, QueryCompletion completion) {
        this.queue = queue;
        this.keyOrdering = keyOrdering;
        this.completion = completion;
    }

    /** Reviews all queued queries. Called once per maintenance interval. */
    void review(long nowNs) {
        boolean contended = isContended(nowNs);
        for (QueryState query : queue.snapshot()) {
            completion.finishIfDue(query, nowNs);
            if (query.missesObjective(nowNs) && queue.contains(query)) {
                handleLateQuery(query, contended);
            }
        }
    }

    private void handleLateQuery(QueryState query, boolean contended) {
        double lateFraction = query.queryClass.lateWeightFraction();
        if (contended || lateFraction == 0) {
            completion.finish(query);
        } else if (query.weight == query.initialWeight) {
            queue.changeWeight(query, query.initialWeight * lateFraction);
        }
    }

    /** Returns whether a query that can still meet its latency objective waits for capacity. */
    private boolean isContended(long nowNs) {
        for (QueryState query : queue.inOrder()) {
            if (nowNs - query.submittedNs > CONTENDED_AFTER_NS
                    && !query.missesObjective(nowNs)
                    && keyOrdering.allows(query, nowNs)) {
                return true;
            }
        }
        return false;
    }
}
