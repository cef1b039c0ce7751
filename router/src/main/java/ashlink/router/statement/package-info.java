/**
 * State machines of the HTTP API: the lifecycle of statements, the retained pages of results, the
 * spool budget and the idempotency keys. They use no I/O, clock or randomness.
 */
package ashlink.router.statement;
