/**
 * Reads statements: their kind, the tables they touch, whether repeating them is harmless, and a
 * fingerprint that ignores literal values. What is not understood is unknown, with the reason and
 * the place. No I/O.
 */
package ashlink.sql;
