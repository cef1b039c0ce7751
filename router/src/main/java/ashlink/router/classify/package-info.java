/**
 * Assigns query classes to statements, by the rules of the settings and the analysis of their text.
 */
package ashlink.router.classify;
