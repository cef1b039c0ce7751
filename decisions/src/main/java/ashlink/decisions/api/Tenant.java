package ashlink.decisions.api;

/**
 * A tenant.
 *
 * @param name unique name in the settings
 * @param quotaPerS queries per second, over all routers, within its quota; 0 for no limit
 */
public record Tenant(String name, double quotaPerS) {}
