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
 * Objects that all listeners of a router share.
 *
 * @param settings supplier of the current settings, which a reload replaces
 * @param core core that admits requests and calls the decision module
 * @param engines connections to the engines
 * @param workers executor of attempts and final responses
 * @param timer executor of timeouts; tasks of this executor must not block
 * @param limits limits of the wire protocol
 * @param responseQuota memory budget of buffered responses
 * @param insertQuota memory budget of buffered insert data
 * @param classifier supplier of the classifier for the current settings
 * @param statementAnalyzer analyzer of statements
 * @param unsupportedStatements log of statements that cannot be analyzed
 * @param boot identifier of this run of the router, part of query ids and spool file names
 */
public record ListenerContext(
        Supplier<RouterConfig> settings,
        Core core,
        EngineConnections engines,
        Executor workers,
        ScheduledExecutorService timer,
        WireLimits limits,
        Quota responseQuota,
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
