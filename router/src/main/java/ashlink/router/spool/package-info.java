/** Storage of the HTTP API on disk: the spool of results and the log of idempotency keys. */
package ashlink.router.spool;
