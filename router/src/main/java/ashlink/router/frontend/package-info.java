/**
 * Listener of the native protocol: accepts clients, authenticates them, creates requests of the
 * core from statements, and relays responses. Each connection is read by a thread of its own; each
 * attempt runs on a worker thread.
 */
package ashlink.router.frontend;
