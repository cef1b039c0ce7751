/**
 * Discovery of engines from the configuration: the registry of endpoints with their start times,
 * and the store from which a restarted router restores them.
 */
package ashlink.router.discovery;
