/**
 * Protocol-independent core of a router: admission of requests, the thread that calls the decision
 * module, and attempts with their outcomes. Client frontends submit requests with a {@link
 * ashlink.router.core.ResponseSink}; an {@link ashlink.router.core.EngineTransport} checks the
 * health of engines.
 */
package ashlink.router.core;
