package ashlink.router;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.ClassRule;
import java.util.List;

/** Selects the settings that a reload replaces. */
final class ConfigReload {

    private ConfigReload() {}

    /** Returns whether some of the changes take effect only after a restart. */
    static boolean needsRestart(RouterConfig current, RouterConfig updated) {
        return !updated.settings().equals(current.settings())
                || !updated.resourceLimits().equals(current.resourceLimits())
                || !updated.listen().equals(current.listen());
    }

    /** Returns the current settings with the engines, users and rules of the new settings. */
    static RouterConfig merge(RouterConfig current, RouterConfig updated) {
        return new RouterConfig(
                current.name(),
                current.zone(),
                current.seed(),
                current.routerCount(),
                current.routerIndex(),
                current.listen(),
                current.metrics(),
                current.stateDir(),
                current.resourceLimits(),
                current.engineKinds(),
                updated.engines(),
                current.queryClasses(),
                rules(current, updated),
                current.defaultClass(),
                current.defaultWriteClass(),
                updated.users(),
                current.tenants(),
                current.overQuotaWeight(),
                current.capabilities(),
                current.policyLimits(),
                current.loadMetrics(),
                current.engineLogin(),
                current.capture(),
                current.http(),
                current.control());
    }

    /** Returns the new rules, without rules whose query class is not defined before a restart. */
    private static List<ClassRule> rules(RouterConfig current, RouterConfig updated) {
        return updated.rules().stream()
                .filter(rule -> current.queryClasses().containsKey(rule.queryClass()))
                .toList();
    }
}
