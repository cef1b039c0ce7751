package ashlink.decisions;

/**
 * Gives up queued queries that will miss their latency objective, at once, where others need the
 * capacity or a late answer earns nothing, and answers those whose deadline is near. One that stays
 * queues with its lower, late weight.
 */
final class GiveUpPolicy {

    /** Time in the queue after which a query counts as waiting for capacity. */
    private static final long CONTENDED_AFTER_NS = MaintenanceTask.INTERVAL_NS;

    private final AdmissionQueue queue;
    private final KeyOrdering keyOrdering;
    private final QueryCompletion completion;

    GiveUpPolicy(AdmissionQueue queue, KeyOrdering keyOrdering, QueryCompletion completion) {
        this.queue = queue;
        this.keyOrdering = keyOrdering;
        this.completion = completion;
    }

    /** Reviews the queue; called at a fixed interval. */
    void review(long nowNs) {
        boolean contended = isContended(nowNs);
        for (QueryState query : queue.snapshot()) {
            completion.finishIfDue(query, nowNs);
            if (query.missesObjective(nowNs) && queue.contains(query)) {
                reviewLate(query, contended);
            }
        }
    }

    private void reviewLate(QueryState query, boolean contended) {
        double lateFraction = query.spec.lateWeightFraction();
        if (contended || lateFraction == 0) {
            completion.finish(query);
        } else if (query.weight == query.initialWeight) {
            queue.changeWeight(query, query.initialWeight * lateFraction);
        }
    }

    /** Whether queries that can still meet their objective wait for capacity. */
    private boolean isContended(long nowNs) {
        for (QueryState query : queue.inOrder()) {
            if (nowNs - query.submittedNs > CONTENDED_AFTER_NS
                    && !query.missesObjective(nowNs)
                    && keyOrdering.hasTurn(query, nowNs)) {
                return true;
            }
        }
        return false;
    }
}
