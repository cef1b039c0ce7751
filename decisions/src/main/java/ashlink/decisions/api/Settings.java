package ashlink.decisions.api;

import java.util.List;

/**
 * The configuration of a workload manager.
 *
 * @param seed seed for all random choices
 * @param routerCount number of routers in the fleet, including this router
 * @param routerIndex position of this router in the fleet, from 0
 * @param zone zone of this router
 * @param classes the query classes; not empty
 * @param kinds the kinds of engine
 * @param capabilities the features that the router may use and the engines support
 * @param limits the limits set by the policy of the site
 * @param tenants the tenants, with their quotas
 * @param overQuotaWeight fraction of the priority weight that a query beyond its tenant's quota
 *     keeps
 */
public record Settings(
        long seed,
        int routerCount,
        int routerIndex,
        String zone,
        List<QueryClass> classes,
        List<EngineKind> kinds,
        Capabilities capabilities,
        PolicyLimits limits,
        List<Tenant> tenants,
        double overQuotaWeight) {

    /** Creates settings without tenants. */
    public Settings(
            long seed,
            int routerCount,
            int routerIndex,
            String zone,
            List<QueryClass> classes,
            List<EngineKind> kinds,
            Capabilities capabilities,
            PolicyLimits limits) {
        this(
                seed,
                routerCount,
                routerIndex,
                zone,
                classes,
                kinds,
                capabilities,
                limits,
                List.of(),
                1);
    }

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the setting
     *     and the accepted values
     */
    public Settings {
        requirePositive("gateways", routerCount);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("invalid setting classes: none; at least 1 needed");
        }
        for (QueryClass queryClass : classes) {
            requireNotNegative(queryClass.name() + ".aimNs", queryClass.latencyObjectiveNs());
            requirePositive(queryClass.name() + ".threads", queryClass.threads());
            requireNotNegative(queryClass.name() + ".worth", queryClass.priorityWeight());
            requireNotNegative(
                    queryClass.name() + ".repeatSpanNs", queryClass.deduplicationWindowNs());
        }
        for (EngineKind engineKind : kinds) {
            requirePositive(engineKind.name() + ".cores", engineKind.cores());
        }
        requirePositive("allowed.attempts", capabilities.maxAttempts());
        requireNotNegative("limits.coldFrom", limits.slowStartFraction());
        requireNotNegative("limits.resendsPerRequest", limits.retriesPerQuery());
        for (Tenant tenant : tenants) {
            requireNotNegative(tenant.name() + ".quotaPerS", tenant.quotaPerS());
        }
        tenants = List.copyOf(tenants);
        classes = List.copyOf(classes);
        kinds = List.copyOf(kinds);
    }

    private static void requirePositive(String setting, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(
                    "invalid setting " + setting + ": " + value + "; must be at least 1");
        }
    }

    private static void requireNotNegative(String setting, Number value) {
        if (!(value.doubleValue() >= 0)) {
            throw new IllegalArgumentException(
                    "invalid setting " + setting + ": " + value + "; must be 0 or more");
        }
    }
}
