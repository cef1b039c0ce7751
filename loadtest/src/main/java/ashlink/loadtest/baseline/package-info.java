/**
 * Policies to compare with: they keep placement and effects, and decide by nothing that they learn.
 */
package ashlink.loadtest.baseline;
