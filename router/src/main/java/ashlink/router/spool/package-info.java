/** Durable state of the HTTP API: the spool of results, and the log of idempotency keys. */
package ashlink.router.spool;
