package ashlink.router.core;

import ashlink.decisions.api.QueryClass;

/**
 * Chooses the final answer of a request for which the decision module gives none: it threw, the
 * request is past its deadline, or the router stops.
 */
final class FallbackResponse {

    private FallbackResponse() {}

    /**
     * Whether the client may be sent a rejection, which promises that a retry is harmless;
     * otherwise it is sent a failure.
     *
     * @param queryClass class of the request, or null where the settings have no such class
     * @param mayHaveRun whether an attempt may have been executed
     */
    static boolean mayReject(QueryClass queryClass, boolean mayHaveRun) {
        return queryClass == null ? !mayHaveRun : queryClass.mayBeRejected(mayHaveRun);
    }
}
