/**
 * Assigns query classes to statements, by the classification rules of the settings and the analysis
 * of the statement text.
 */
package ashlink.router.classify;
