/**
 * The listener of the native protocol: accepts clients, authenticates them, turns statements into
 * requests of the core, and relays responses. Each connection is read by a thread of its own; each
 * attempt is driven by a worker.
 */
package ashlink.router.frontend;
