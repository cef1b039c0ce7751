/**
 * Discovery of engines from the configuration: the registry of endpoints with their start times,
 * and the store from which a router restores the endpoints after a restart.
 */
package ashlink.router.discovery;
