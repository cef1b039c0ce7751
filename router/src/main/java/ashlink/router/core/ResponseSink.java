package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Receives the attempts and the final answer of one request. No method may block: they are called
 * on the decision thread or on a thread that serves other requests too.
 */
public interface ResponseSink {

    /** Starts an attempt; the implementation ends it by {@link Attempt#end}. */
    void start(Attempt attempt);

    /**
     * Final answer: rejected, a retry is harmless.
     *
     * @param retryAfterNs time after which to retry, 0 where none is given
     */
    void reject(long retryAfterNs);

    /** Final answer: failed, with no promise about the effect of the statement. */
    void fail();

    /** Final answer: the response broke off after the client received a part of it. */
    void abortPartial(Outcome outcome);
}
