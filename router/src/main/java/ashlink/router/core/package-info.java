/**
 * The protocol-independent core of a router: admission of requests, the thread that owns the
 * decision module, attempts and their outcomes. Client listeners submit requests with a {@link
 * ashlink.router.core.ResponseSink}; an {@link ashlink.router.core.EngineTransport} checks the
 * health of engines.
 */
package ashlink.router.core;
