/**
 * Scripted days: a fleet under load while things go wrong, and what was seen of it from outside.
 */
package ashlink.loadtest.scenario;
