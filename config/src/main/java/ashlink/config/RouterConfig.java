package ashlink.config;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Settings of one router; made by {@link RouterConfigReader} only, so they are checked. */
public record RouterConfig(
        String name,
        String zone,
        long seed,
        int gateways,
        int position,
        InetSocketAddress listen,
        InetSocketAddress metrics,
        Path stateDir,
        Bounds bounds,
        List<EngineKind> kinds,
        Map<String, EngineSpec> engines,
        Map<String, QueryClass> classes,
        List<ClassRule> rules,
        String defaultClass,
        String defaultWriteClass,
        Map<String, UserSpec> users,
        List<Tenant> tenants,
        double overShareWorth,
        Capabilities allowed,
        PolicyLimits limits,
        Gauges gauges,
        EngineLogin engineLogin,
        CaptureSpec capture,
        HttpSpec http,
        ControlSpec control) {

    /** An engine of the list. */
    public record EngineSpec(
            String name,
            InetSocketAddress address,
            String zone,
            String kind,
            long cell,
            EndpointState phase) {}

    /**
     * A user: salted hash of the password (bcrypt), empty for one without, and the tenant that it
     * belongs to.
     */
    public record UserSpec(String name, String passwordHash, String tenant) {}

    /**
     * What is captured, and where; {@code dir} null is nothing.
     *
     * @param keySecret by which keys are hashed; empty: one drawn at each start
     */
    public record CaptureSpec(
            Path dir,
            long segmentBytes,
            long keptBytes,
            int queue,
            long syncNs,
            String keySecret) {}

    /**
     * The statement API over HTTP; {@code listen} null: there is none. docs/operating.md has each
     * setting.
     *
     * @param spool folder for results, null: they stay in memory
     * @param pageBytes raw bytes of a result after which a page is full
     * @param memoryBytes raw bytes of a statement's result that are kept in memory
     * @param memoryAllBytes the same of all statements
     * @param spoolStatement bytes of a result on disk that its client has not let go of
     * @param unpolledNs a statement under way that nobody asks for is called off after that
     * @param keptNs a result that nobody fetches is dropped after that
     * @param lingerNs a result whose last page was fetched is dropped after that
     * @param tombstoneNs time for which a dropped statement is answered as gone
     * @param renderBytes bytes of answers on their way to clients at once
     * @param peers addresses of the other routers by name, for polls that reach the wrong one
     */
    public record HttpSpec(
            InetSocketAddress listen,
            Path spool,
            long pageBytes,
            long memoryBytes,
            long memoryAllBytes,
            long spoolStatement,
            long spoolUser,
            long spoolAll,
            int open,
            int openUser,
            long unpolledNs,
            long keptNs,
            long lingerNs,
            int tombstones,
            long tombstoneNs,
            long longestWaitNs,
            long bodyBytes,
            int headerBytes,
            int connections,
            long headerNs,
            long bodyNs,
            long idleNs,
            long renderBytes,
            int keys,
            long keyNs,
            Map<String, String> peers) {}

    /**
     * The control channel; {@code listen} null: there is none.
     *
     * @param keys folder with {@code ca.crt}, and {@code NAME.crt} and {@code NAME.key} of this
     *     router
     * @param peers control addresses of the other routers, by name
     */
    public record ControlSpec(
            InetSocketAddress listen, Path keys, Map<String, InetSocketAddress> peers) {}

    /** What the router logs in as at the engines. */
    public record EngineLogin(String user, String password) {}

    /**
     * The class of requests that match all that is not empty; the first rule that matches holds.
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

    /** A value that engines tell under a name, to be divided by {@code divisor}. */
    public record Gauge(String name, double divisor) {}

    /**
     * Where engines tell their load: of each list the first that is told counts; an empty list is
     * not told.
     */
    public record Gauges(
            List<Gauge> waiting,
            List<Gauge> coresBusy,
            List<Gauge> memoryGranted,
            List<Gauge> disksBusy,
            List<Gauge> inHand,
            List<Gauge> workMs,
            List<Gauge> memoryMb,
            List<Gauge> uptimeS) {}

    /**
     * Limits of memory, counts and time. All are counted; docs/operating.md says what happens at
     * each.
     *
     * @param heldAnswer bytes of an answer kept back before its first byte goes to the client
     * @param heldAnswers the same of all requests together
     * @param heldInsert bytes of an insert kept so that another attempt can have them
     * @param heldInserts the same of all requests together
     * @param answerMarginNs time before the client's own deadline by which its answer must be on
     *     the way
     * @param queue events that wait for the decision thread before requests are turned away at the
     *     door
     */
    public record Bounds(
            int connections,
            int openRequests,
            int queue,
            long heldAnswer,
            long heldAnswers,
            long heldInsert,
            long heldInserts,
            long packet,
            long loginNs,
            long connectNs,
            long idleEngineNs,
            long idleClientNs,
            int engineConnections,
            long stopNs,
            long stackBytes,
            long answerMarginNs) {}

    /** What the decision module is told at its start; {@code seed} as given there. */
    public Settings settings() {
        return new Settings(
                seed,
                gateways,
                position,
                zone,
                List.copyOf(allClasses().values()),
                kinds,
                allowed,
                limits,
                tenants,
                overShareWorth);
    }

    /** The name of the strict twin of a class. */
    public static String strictName(String queryClass) {
        return queryClass + "/once";
    }

    /**
     * The classes, and for each that may be repeated and is bound to some engines a twin that may
     * not: a statement that turns out not to be a plain read keeps the placement of its class and
     * loses the repeats.
     */
    public Map<String, QueryClass> allClasses() {
        Map<String, QueryClass> all = new LinkedHashMap<>(classes);
        for (QueryClass queryClass : classes.values()) {
            if (queryClass.retrySafety() != RetrySafety.AT_MOST_ONCE
                    && !(queryClass.engineKinds().isEmpty() && queryClass.zones().isEmpty())) {
                all.put(
                        strictName(queryClass.name()),
                        new QueryClass(
                                strictName(queryClass.name()),
                                queryClass.latencyObjectiveNs(),
                                queryClass.objectivePerWork(),
                                queryClass.deadlineNs(),
                                RetrySafety.AT_MOST_ONCE,
                                queryClass.deduplicationScope(),
                                0,
                                queryClass.priorityWeight(),
                                queryClass.lateWeightFraction(),
                                queryClass.ordered(),
                                queryClass.engineKinds(),
                                queryClass.zones(),
                                queryClass.threads(),
                                queryClass.locksTables(),
                                queryClass.waitsForTableLocks()));
            }
        }
        return all;
    }
}
