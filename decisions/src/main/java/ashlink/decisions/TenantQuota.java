package ashlink.decisions;

import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * Lowers the weight of queries beyond their tenant's quota, so that queries of tenants within their
 * quotas start first. Each router enforces its part of the quota on its own queries.
 */
final class TenantQuota {

    /**
     * Time constant of the decay of the query count. With a shorter one, a router counts too few
     * queries of a tenant.
     */
    private static final long DECAY_NS = 5_000 * Nanos.PER_MS;

    private static final long NS_PER_S = 1_000 * Nanos.PER_MS;

    private final int routerCount;
    private final double overQuotaWeight;
    private final Map<String, TenantUsage> tenants = new HashMap<>();

    TenantQuota(Settings settings) {
        this.routerCount = settings.routerCount();
        this.overQuotaWeight = settings.overQuotaWeight();
        for (Tenant tenant : settings.tenants()) {
            if (tenant.quotaPerS() > 0) {
                tenants.put(tenant.name(), new TenantUsage(tenant.quotaPerS()));
            }
        }
    }

    /**
     * Counts a query and returns the fraction of the priority weight that the query keeps.
     *
     * @param tenant name of the tenant; a tenant without a quota always keeps the full weight
     * @param trafficFraction this router's fraction of the traffic of the fleet
     * @param nowNs the current time
     * @return a fraction from the configured weight beyond the quota up to 1
     */
    double weightFraction(String tenant, double trafficFraction, long nowNs) {
        TenantUsage usage = tenants.get(tenant);
        if (usage == null) {
            return 1;
        }
        double decay = Math.exp(-(nowNs - usage.lastQueryNs) / (double) DECAY_NS);
        usage.recentQueries = 1 + usage.recentQueries * decay;
        usage.lastQueryNs = nowNs;
        double quota =
                usage.quotaPerS * (trafficFraction + 1.0 / routerCount) / 2 * DECAY_NS / NS_PER_S;
        double withinFraction = Math.min(1, quota / usage.recentQueries);
        return withinFraction + (1 - withinFraction) * overQuotaWeight;
    }
}
