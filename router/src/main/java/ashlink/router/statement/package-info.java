/**
 * Decisions about statements whose results clients fetch: their lifecycle, retained pages, the
 * budget of the spool, and idempotency keys. Without I/O, clock or randomness.
 */
package ashlink.router.statement;
