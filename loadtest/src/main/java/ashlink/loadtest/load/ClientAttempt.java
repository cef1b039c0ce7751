package ashlink.loadtest.load;

import ashlink.loadtest.client.Reply;

/**
 * One try of a client, as it noted it. Times are of {@link System#nanoTime}.
 *
 * @param tag of the statement, by which engines' ledgers name it
 * @param number of the try, 0 for the first
 * @param sent true once the whole statement was written
 * @param front by which it came: native or http
 * @param stray true if the router sent more after its final answer
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

    /** True for an answer that says that trying again is harmless. */
    public boolean isRefused() {
        return reply.kind() == Reply.Kind.EXCEPTION && reply.code() == 202;
    }
}
