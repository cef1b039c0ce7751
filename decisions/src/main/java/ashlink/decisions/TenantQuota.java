package ashlink.decisions;

import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * Lowers the weight of a tenant's queries beyond its quota, so that they leave the queue after
 * those of tenants within theirs. A router counts its own queries against its part of the quota.
 */
final class TenantQuota {

    /** Decay time of the count; in a shorter one a router sees too few queries of a tenant. */
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
     * Counts a query and returns the fraction of its weight that it has.
     *
     * @param tenant name of its tenant; one without a quota always has the full weight
     * @param trafficFraction fraction of the fleet's traffic that this router carries
     * @param nowNs the time
     * @return from the weight of a query beyond the quota to 1
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
