/**
 * What becomes of statements whose answers are fetched: their life, the pages that are kept,
 * budgets of the spool, and keys under which a statement runs once. Without I/O, clock or
 * randomness.
 */
package ashlink.router.statement;
