package ashlink.router.frontend;

import ashlink.config.RouterConfig;
import ashlink.router.classify.Classifier;
import ashlink.router.classify.StatementAnalyzer;
import ashlink.router.core.Core;
import ashlink.router.upstream.EngineConnections;
import ashlink.wire.Quota;
import ashlink.wire.WireLimits;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

/**
 * What the listeners of a router share.
 *
 * @param settings current settings, which a reload replaces
 * @param core decides about requests
 * @param engines connections to the engines
 * @param workers executor of attempts and final responses
 * @param timer executor of timeouts; its tasks must not block
 * @param limits limits of the wire protocol
 * @param answerQuota budget of buffered responses
 * @param insertQuota budget of buffered insert data
 * @param classifier classifier of the current settings
 * @param statementAnalyzer analyzes statements
 * @param unsupportedStatements log of statements that cannot be analyzed
 * @param boot text that is unique to this start of the router
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
        StatementAnalyzer statementAnalyzer,
        UnsupportedStatementLog unsupportedStatements,
        String boot) {

    /** Returns the current settings. */
    public RouterConfig config() {
        return settings.get();
    }
}
