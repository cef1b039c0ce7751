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
        require(routerCount > 0, "gateways", routerCount);
        require(!classes.isEmpty(), "classes", "none");
        for (QueryClass queryClass : classes) {
            require(
                    queryClass.latencyObjectiveNs() >= 0,
                    queryClass.name() + ".aimNs",
                    queryClass.latencyObjectiveNs());
            require(queryClass.threads() > 0, queryClass.name() + ".threads", queryClass.threads());
            require(
                    queryClass.priorityWeight() >= 0,
                    queryClass.name() + ".worth",
                    queryClass.priorityWeight());
            require(
                    queryClass.deduplicationWindowNs() >= 0,
                    queryClass.name() + ".repeatSpanNs",
                    queryClass.deduplicationWindowNs());
        }
        for (EngineKind engineKind : kinds) {
            require(engineKind.cores() > 0, engineKind.name() + ".cores", engineKind.cores());
        }
        require(capabilities.maxAttempts() > 0, "allowed.attempts", capabilities.maxAttempts());
        require(limits.slowStartFraction() >= 0, "limits.coldFrom", limits.slowStartFraction());
        require(
                limits.retriesPerQuery() >= 0,
                "limits.resendsPerRequest",
                limits.retriesPerQuery());
        for (Tenant tenant : tenants) {
            require(tenant.quotaPerS() >= 0, tenant.name() + ".quotaPerS", tenant.quotaPerS());
        }
        tenants = List.copyOf(tenants);
        classes = List.copyOf(classes);
        kinds = List.copyOf(kinds);
    }

    private static void require(boolean holds, String setting, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + setting + " is invalid: " + value);
        }
    }
}
