package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Receives the attempts and the final response of one request. Methods are called on the decision
 * thread or on a thread that serves other requests too, and must not block.
 */
public interface ResponseSink {

    /**
     * Starts an attempt; the implementation must call {@link Attempt#end} when the attempt is over.
     */
    void start(Attempt attempt);

    /**
     * Sends a rejection as the final response: a retry is safe.
     *
     * @param retryAfterNs time after which the client may retry, 0 if unknown
     */
    void reject(long retryAfterNs);

    /** Sends a failure as the final response: the statement may have taken effect. */
    void fail();

    /**
     * Ends a response of which the client already received a part, and reports that the rest is
     * missing.
     */
    void abortPartial(Outcome outcome);
}
