package ashlink.router.frontend;

import ashlink.config.RouterConfig;
import ashlink.router.classify.Classifier;
import ashlink.router.classify.Statements;
import ashlink.router.core.Core;
import ashlink.router.upstream.EngineConnections;
import ashlink.wire.Quota;
import ashlink.wire.WireLimits;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

/**
 * What a front works with.
 *
 * @param settings the settings in force, which a reload replaces
 * @param classifier that of the settings in force, made once for them
 * @param boot text that no other start of this router has
 */
public record ListenerContext(
        Supplier<RouterConfig> settings,
        Core core,
        EngineConnections engines,
        Executor workers,
        ScheduledExecutorService timer,
        WireLimits limits,
        Quota answerQuota,
        Quota insertQuota,
        Supplier<Classifier> classifier,
        Statements statements,
        UnknownTableLog unknowns,
        String boot) {

    /** The settings in force. */
    public RouterConfig config() {
        return settings.get();
    }
}
