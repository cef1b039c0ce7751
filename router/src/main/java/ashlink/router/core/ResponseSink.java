package ashlink.router.core;

import ashlink.decisions.api.Outcome;

/**
 * Where the answer of a request goes. No method may wait: all are called by threads that others
 * depend on.
 */
public interface ResponseSink {

    /** Starts an attempt; whoever drives it ends it. */
    void start(Attempt attempt);

    /** Final: not done, trying again is harmless; come back after that time, where it is over 0. */
    void reject(long retryAfterNs);

    /** Final: failed, with no promise about its effect. */
    void fail();

    /** Final: an answer of which the client has a part broke off. */
    void abortPartial(Outcome how);
}
