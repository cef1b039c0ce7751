package ashlink.decisions.api;

/**
 * A tenant of the fleet.
 *
 * @param name unique name of the tenant
 * @param quotaPerS quota in queries per second, over all routers; 0 for no quota
 */
public record Tenant(String name, double quotaPerS) {}
