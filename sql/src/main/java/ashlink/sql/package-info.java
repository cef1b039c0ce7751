/**
 * Analyzes SQL statements: the kind, the accessed tables, whether repeating a statement is safe,
 * and a fingerprint that ignores literal values. Unsupported syntax is reported as unknown, with
 * the reason and the offset. The package does no I/O.
 */
package ashlink.sql;
