/**
 * Baseline policies for comparison. They respect placement and cause no duplicate effects, but do
 * not learn from the responses of the engines.
 */
package ashlink.loadtest.baseline;
