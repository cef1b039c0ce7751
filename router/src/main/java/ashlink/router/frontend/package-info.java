/**
 * The front that speaks the native protocol: listens, logs clients in, turns statements into
 * requests of the core, and passes answers on. A connection is read by one thread of its own; an
 * attempt is driven by a worker.
 */
package ashlink.router.frontend;
