package ashlink.router.core;

import ashlink.decisions.api.QueryClass;

/**
 * Selects the final response of a request for which the decision module provides none: the decision
 * module threw an exception, the deadline of the request passed, or the router is stopping.
 */
final class FallbackResponse {

    private FallbackResponse() {}

    /**
     * Returns whether the client may receive a rejection, which states that a retry is safe.
     * Otherwise the client receives a failure.
     *
     * @param queryClass query class of the request, or null if the settings do not define it
     * @param mayHaveRun whether an engine may have executed the statement
     */
    static boolean mayReject(QueryClass queryClass, boolean mayHaveRun) {
        return queryClass == null ? !mayHaveRun : queryClass.mayBeRejected(mayHaveRun);
    }
}
