package ashlink.loadtest.load;

import ashlink.loadtest.client.Reply;

/**
 * An attempt of a client to run a request, as recorded by the client. Times are from {@link
 * System#nanoTime}.
 *
 * @param request number of the request
 * @param tag tag of the statement, which the ledgers of the engines record
 * @param index index of the attempt, 0 for the first
 * @param queryClass name of the class in the load
 * @param key ordering key, null if the request has none
 * @param router router that the attempt was sent to
 * @param workMs work of the query, summed over its threads
 * @param threads threads of the query
 * @param requestStartNs start of the first attempt of the request
 * @param sentNs start of this attempt
 * @param deadlineNs time at which the client gives up
 * @param sent whether the whole statement was written, so that the router may have received it
 * @param reply end of the attempt
 * @param hasDataAfterReply whether the router sent data after its final answer
 * @param protocol protocol: native or http
 */
public record ClientAttempt(
        long request,
        String tag,
        int index,
        String queryClass,
        String key,
        String router,
        double workMs,
        int threads,
        long requestStartNs,
        long sentNs,
        long deadlineNs,
        boolean sent,
        Reply reply,
        boolean hasDataAfterReply,
        String protocol) {

    /** Error code with which a router rejects a statement that is safe to retry. */
    private static final int REJECTED_CODE = 202;

    /** Returns whether the router rejected the statement and reported that a retry is safe. */
    public boolean isRejected() {
        return reply.kind() == Reply.Kind.EXCEPTION && reply.code() == REJECTED_CODE;
    }
}
