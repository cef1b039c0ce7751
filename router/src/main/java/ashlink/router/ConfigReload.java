package ashlink.router;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.ClassRule;
import java.util.List;

/** Decides which settings a reload replaces. */
final class ConfigReload {

    private ConfigReload() {}

    /** Tells whether some of the changes take effect only after a restart. */
    static boolean needsRestart(RouterConfig current, RouterConfig next) {
        return !next.settings().equals(current.settings())
                || !next.bounds().equals(current.bounds())
                || !next.listen().equals(current.listen());
    }

    /** Returns the current settings with the engines, users and rules of the next ones. */
    static RouterConfig merge(RouterConfig current, RouterConfig next) {
        return new RouterConfig(
                current.name(),
                current.zone(),
                current.seed(),
                current.gateways(),
                current.position(),
                current.listen(),
                current.metrics(),
                current.stateDir(),
                current.bounds(),
                current.kinds(),
                next.engines(),
                current.classes(),
                rules(current, next),
                current.defaultClass(),
                current.defaultWriteClass(),
                next.users(),
                current.tenants(),
                current.overShareWorth(),
                current.allowed(),
                current.limits(),
                current.gauges(),
                current.engineLogin(),
                current.capture(),
                current.http(),
                current.control());
    }

    /** Returns the next rules, without those whose class does not exist before a restart. */
    private static List<ClassRule> rules(RouterConfig current, RouterConfig next) {
        return next.rules().stream()
                .filter(rule -> current.classes().containsKey(rule.queryClass()))
                .toList();
    }
}
