package ashlink.loadtest.load;

import ashlink.loadtest.client.Reply;

/**
 * An attempt of a client to run a request, as recorded by the client. Times are from {@link
 * System#nanoTime}.
 *
 * @param request number of the request
 * @param tag tag of the statement, which the ledgers of the engines record
 * @param number index of the attempt, 0 for the first
 * @param queryClass name of the class in the load
 * @param key ordering key, null if the request has none
 * @param router router that the attempt was sent to
 * @param workMs work of the query, summed over its threads
 * @param threads threads of the query
 * @param firstNs start of the first attempt of the request
 * @param sentNs start of this attempt
 * @param deadlineNs time at which the client gives up
 * @param sent whether the whole statement was written, so that the router may have received it
 * @param reply end of the attempt
 * @param stray whether the router sent data after its final answer
 * @param front protocol: native or http
 */
public record ClientAttempt(
        long request,
        String tag,
        int number,
        String queryClass,
        String key,
        String router,
        double workMs,
        int threads,
        long firstNs,
        long sentNs,
        long deadlineNs,
        boolean sent,
        Reply reply,
        boolean stray,
        String front) {

    /** Returns whether the router rejected the statement and reported that a retry is safe. */
    public boolean isRefused() {
        return reply.kind() == Reply.Kind.EXCEPTION && reply.code() == 202;
    }
}
