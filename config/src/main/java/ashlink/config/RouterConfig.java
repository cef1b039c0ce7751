package ashlink.config;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The validated settings of one router; {@link RouterConfigReader} reads them from a file.
 *
 * @param name name of the router, unique in the fleet
 * @param zone failure domain that the router runs in; empty if no zones are set
 * @param seed seed of the decision module
 * @param routerCount number of routers in the fleet, including this router
 * @param routerIndex index of this router in the fleet, from 0
 * @param listen address of the native protocol
 * @param metrics address of the metrics endpoint, or null
 * @param stateDir directory of the state that is kept across restarts, or null
 * @param resourceLimits limits of memory, counts and time
 * @param engineKinds kinds of hardware that the engines run on
 * @param engines the engines by name, in the order of the file
 * @param queryClasses the query classes by name, in the order of the file
 * @param rules rules that assign a class to a statement, in the order of their evaluation
 * @param defaultClass class of read-only statements that no rule matches
 * @param defaultWriteClass class of statements that no rule matches and that may write
 * @param users the users by name
 * @param tenants the tenants with their quotas
 * @param overQuotaWeight fraction of the priority weight that a query beyond the tenant's quota has
 * @param capabilities features that the decision module may use
 * @param policyLimits limits set by the policy of the site
 * @param loadMetrics metrics in which engines report their load
 * @param engineLogin credentials with which the router logs in to the engines
 * @param capture settings of the capture
 * @param http settings of the statement API
 * @param control settings of the control channel
 */
public record RouterConfig(
        String name,
        String zone,
        long seed,
        int routerCount,
        int routerIndex,
        InetSocketAddress listen,
        InetSocketAddress metrics,
        Path stateDir,
        ResourceLimits resourceLimits,
        List<EngineKind> engineKinds,
        Map<String, EngineSpec> engines,
        Map<String, QueryClass> queryClasses,
        List<ClassRule> rules,
        String defaultClass,
        String defaultWriteClass,
        Map<String, UserSpec> users,
        List<Tenant> tenants,
        double overQuotaWeight,
        Capabilities capabilities,
        PolicyLimits policyLimits,
        LoadMetrics loadMetrics,
        EngineLogin engineLogin,
        CaptureSpec capture,
        HttpSpec http,
        ControlSpec control) {

    /**
     * An engine of the static endpoint list.
     *
     * @param kind name of the engine's hardware; may be empty
     * @param cell number of the group of engines that share idempotency keys
     */
    public record EngineSpec(
            String name,
            InetSocketAddress address,
            String zone,
            String kind,
            long cell,
            EndpointState state) {}

    /**
     * A user.
     *
     * @param passwordHash bcrypt hash of the password; empty for a user without a password
     * @param tenant tenant that the user belongs to; empty for none
     */
    public record UserSpec(String name, String passwordHash, String tenant) {}

    /**
     * Settings of the capture of events and actions.
     *
     * @param dir directory of the capture; null disables it
     * @param segmentBytes size at which a segment is closed
     * @param retainedBytes total size of all segments above which the oldest segments are deleted
     * @param queueEntries maximum number of entries that wait to be written; further entries are
     *     dropped
     * @param syncIntervalNs interval between two flushes to the disk
     * @param keySecret secret for the hashing of ordering keys; if empty, a random secret is
     *     generated at each start
     */
    public record CaptureSpec(
            Path dir,
            long segmentBytes,
            long retainedBytes,
            int queueEntries,
            long syncIntervalNs,
            String keySecret) {}

    /**
     * Settings of the statement API over HTTP.
     *
     * @param listen address to listen on; null disables the API
     * @param spool directory for results; null keeps all results in memory
     * @param pageBytes unencoded size of result rows at which a page is complete
     * @param memoryBytes maximum unencoded size of the result of one statement in memory
     * @param totalMemoryBytes maximum unencoded size of the results of all statements in memory
     * @param statementSpoolBytes maximum size on disk of the result pages of one statement that its
     *     client has not acknowledged
     * @param userSpoolBytes the same limit for all statements of one user together
     * @param totalSpoolBytes the same limit for all statements together
     * @param maxOpenStatements maximum number of open statements
     * @param maxOpenStatementsPerUser maximum number of open statements of one user
     * @param pollTimeoutNs time without a poll after which a running statement is cancelled
     * @param resultRetentionNs time after which a result that is not fetched is deleted
     * @param completedRetentionNs time after which a result whose last page was fetched is deleted
     * @param maxTombstones maximum number of deleted statements that are remembered
     * @param tombstoneRetentionNs time for which a deleted statement is reported as expired
     * @param maxPollWaitNs longest wait of a poll for a page; less than {@code idleTimeoutNs}
     * @param maxBodyBytes maximum size of a request body
     * @param maxHeaderBytes maximum size of a request header
     * @param maxConnections maximum number of concurrent client connections
     * @param headerTimeoutNs time within which a client must send a request header
     * @param bodyTimeoutNs time within which a client must send a request body
     * @param idleTimeoutNs time after which an idle connection is closed
     * @param maxRenderBytes maximum size of all encoded responses in memory
     * @param maxIdempotencyKeys maximum number of idempotency keys that are remembered
     * @param idempotencyKeyRetentionNs time for which an idempotency key is remembered
     * @param peers base URLs of the other routers by name, for redirecting polls for their
     *     statements
     */
    public record HttpSpec(
            InetSocketAddress listen,
            Path spool,
            long pageBytes,
            long memoryBytes,
            long totalMemoryBytes,
            long statementSpoolBytes,
            long userSpoolBytes,
            long totalSpoolBytes,
            int maxOpenStatements,
            int maxOpenStatementsPerUser,
            long pollTimeoutNs,
            long resultRetentionNs,
            long completedRetentionNs,
            int maxTombstones,
            long tombstoneRetentionNs,
            long maxPollWaitNs,
            long maxBodyBytes,
            int maxHeaderBytes,
            int maxConnections,
            long headerTimeoutNs,
            long bodyTimeoutNs,
            long idleTimeoutNs,
            long maxRenderBytes,
            int maxIdempotencyKeys,
            long idempotencyKeyRetentionNs,
            Map<String, String> peers) {}

    /**
     * Settings of the control channel between routers.
     *
     * @param listen address to listen on; null disables the channel
     * @param keys directory with {@code ca.crt}, and with {@code NAME.crt} and {@code NAME.key} of
     *     this router
     * @param peers control addresses of the other routers by name
     */
    public record ControlSpec(
            InetSocketAddress listen, Path keys, Map<String, InetSocketAddress> peers) {}

    /** Credentials with which the router logs in to the engines. */
    public record EngineLogin(String user, String password) {}

    /**
     * A rule that assigns a query class. A statement matches the rule if the statement meets every
     * condition that is not empty. The first matching rule determines the class.
     *
     * @param queryClass class that the rule assigns
     * @param keywords accepted first keywords of the statement, in upper case
     * @param kinds accepted kinds of statements
     * @param tables patterns of table names; a table of the statement must match one of them
     * @param fingerprints accepted fingerprints of the normalized statement, in hexadecimal
     * @param setting name of a request setting whose value must be {@code value}
     */
    public record ClassRule(
            String queryClass,
            Set<String> users,
            Set<String> databases,
            Set<String> keywords,
            Set<String> kinds,
            Set<Pattern> tables,
            Set<String> fingerprints,
            String setting,
            String value) {}

    /** A metric of the engines; the reported value is divided by {@code divisor}. */
    public record LoadMetric(String name, double divisor) {}

    /**
     * Metrics from which the load of an engine is read. For each value, the first metric of the
     * list that the engine reports is used; an empty list means that the value is not reported.
     */
    public record LoadMetrics(
            List<LoadMetric> queued,
            List<LoadMetric> coreUtilization,
            List<LoadMetric> memoryGranted,
            List<LoadMetric> diskUtilization,
            List<LoadMetric> inFlight,
            List<LoadMetric> workMs,
            List<LoadMetric> memoryMb,
            List<LoadMetric> uptimeS) {}

    /**
     * Limits of memory, counts and time; docs/operating.md describes the effect of each limit.
     *
     * @param maxClientConnections maximum number of concurrent client connections
     * @param maxOpenRequests maximum number of requests that are queued or running
     * @param eventQueueCapacity number of events waiting for the decision thread at which new
     *     requests are rejected
     * @param responseBufferBytes bytes of a response that are buffered before its first byte is
     *     sent
     * @param totalResponseBufferBytes maximum size of the buffered responses of all requests
     * @param insertBufferBytes maximum size of the data of an insert that is buffered for a retry
     * @param totalInsertBufferBytes maximum size of the buffered insert data of all requests
     * @param maxPacketBytes maximum size of a packet of the native protocol
     * @param loginTimeoutNs time within which a client must log in
     * @param connectTimeoutNs time within which a connection to an engine must be established
     * @param engineIdleTimeoutNs time after which an idle engine connection is closed
     * @param clientIdleTimeoutNs time after which an idle client connection is closed
     * @param maxConnectionsPerEngine maximum number of concurrent connections to one engine
     * @param shutdownTimeoutNs time that open requests have to finish at shutdown
     * @param threadStackBytes stack size of a connection thread
     * @param responseMarginNs time before the client's own deadline by which the response is sent
     */
    public record ResourceLimits(
            int maxClientConnections,
            int maxOpenRequests,
            int eventQueueCapacity,
            long responseBufferBytes,
            long totalResponseBufferBytes,
            long insertBufferBytes,
            long totalInsertBufferBytes,
            long maxPacketBytes,
            long loginTimeoutNs,
            long connectTimeoutNs,
            long engineIdleTimeoutNs,
            long clientIdleTimeoutNs,
            int maxConnectionsPerEngine,
            long shutdownTimeoutNs,
            long threadStackBytes,
            long responseMarginNs) {}

    /** Returns the settings of the decision module. */
    public Settings settings() {
        return new Settings(
                seed,
                routerCount,
                routerIndex,
                zone,
                List.copyOf(allQueryClasses().values()),
                engineKinds,
                capabilities,
                policyLimits,
                tenants,
                overQuotaWeight);
    }

    /** Returns the name of the at-most-once variant of a class. */
    public static String atMostOnceName(String queryClass) {
        return queryClass + "/once";
    }

    /**
     * Returns the classes by name, and an at-most-once variant of each class that may be retried
     * and is restricted to some engine kinds or zones. A statement of such a class that turns out
     * not to be a plain read is assigned to the variant: the statement is then not retried and
     * remains restricted to the same engines.
     */
    public Map<String, QueryClass> allQueryClasses() {
        return AtMostOnceVariants.addTo(queryClasses);
    }
}
