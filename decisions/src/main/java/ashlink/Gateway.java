package ashlink;

import java.util.List;
import java.util.Set;

/**
 * The decisions of one query gateway as its router sees them: events and the time go in, actions
 * come out.
 *
 * <p>An implementation is single-threaded, keeps no clock and does no I/O. Times are nanoseconds on
 * the router's own clock, which never goes back. Events are handed over in the order in which they
 * arrive and the actions are carried out in the order in which they are returned.
 */
public interface Gateway {

    /** Takes one event and returns what to do now; an empty list is to do nothing. */
    List<Action> on(Event event, long nowNs);

    /** What repeating a query of a class does. */
    enum Effect {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /**
     * The engines that drop a repeat of a deduplicated query: all of them, those of a zone or of a
     * cell.
     */
    enum RepeatGroup {
        ALL,
        ZONE,
        CELL
    }

    /** What the list says of an engine. */
    enum Phase {
        READY,
        DRAINING,
        GONE
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        SERVED(true),
        ERROR(true),
        TURNED_AWAY(false),
        TIMED_OUT(true),
        NO_CONNECTION(false),
        RESET(true),
        CANCELLED(true),
        NEVER_SENT(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** False where the outcome proves that the engine never ran the attempt. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /** What a progress note tells. */
    enum NoteKind {
        SHARE_DONE,
        SPILLS_MB,
        WAITS
    }

    /**
     * How the list of engines came: whole, as changes, remembered from before a restart, or not at
     * all.
     */
    enum ListForm {
        WHOLE,
        CHANGES,
        REMEMBERED,
        REFUSED
    }

    /**
     * A class of queries.
     *
     * @param aimNs an answer within this time, longer by {@code aimStretch} times the work per
     *     thread, earns {@code worth}; a later one earns {@code lateShare} of it
     * @param kinds the only kinds of engine it may go to; empty: any
     * @param zones the only zones it may go to; empty: any
     * @param holdsTables true if it holds its group of tables while it runs
     * @param waitsForTables true if it stands still while its group of tables is held
     */
    record QueryClass(
            String name,
            long aimNs,
            double aimStretch,
            long deadlineNs,
            Effect effect,
            RepeatGroup repeatGroup,
            long repeatSpanNs,
            double worth,
            double lateShare,
            boolean inOrder,
            Set<String> kinds,
            Set<String> zones,
            int threads,
            boolean holdsTables,
            boolean waitsForTables) {}

    /** A kind of engine: its cores and memory. */
    record EngineKind(String name, int cores, double memoryMb) {}

    /** What the site allows a gateway to do, and what its engines heed and tell. */
    record Allowed(
            boolean probes,
            boolean cancels,
            int attempts,
            long longestRetryAfterNs,
            boolean grants,
            boolean priorities,
            double largestGrant,
            boolean memoryQueues,
            long noteEveryNs,
            boolean costInAnswers,
            boolean reportsInline,
            boolean listMustBeAsked) {}

    /**
     * Figures of the rules; one that a site does not state is 0, and {@code budgetSpanNs} 0 is no
     * budget.
     */
    record Limits(
            long drainGraceNs,
            double coldFrom,
            long coldNs,
            double coldMultiple,
            long coldWindowNs,
            long keyRestNs,
            double freeResends,
            double resendsPerRequest,
            long budgetSpanNs) {}

    /**
     * A tenant: queries a second, over all gateways, that are within its share; 0 is no such limit.
     */
    record Tenant(String name, double quotaPerS) {}

    /**
     * All that a gateway is told at its start; {@code overShareWorth} is what a query beyond a
     * share earns.
     */
    record Settings(
            long seed,
            int gateways,
            int position,
            String zone,
            List<QueryClass> classes,
            List<EngineKind> kinds,
            Allowed allowed,
            Limits limits,
            List<Tenant> tenants,
            double overShareWorth) {

        /** Settings of a site without tenants. */
        public Settings(
                long seed,
                int gateways,
                int position,
                String zone,
                List<QueryClass> classes,
                List<EngineKind> kinds,
                Allowed allowed,
                Limits limits) {
            this(seed, gateways, position, zone, classes, kinds, allowed, limits, List.of(), 1);
        }

        /** Checks what the decisions rest on; an invalid setting is named in the exception. */
        public Settings {
            require(gateways > 0, "gateways", gateways);
            require(!classes.isEmpty(), "classes", "none");
            for (QueryClass c : classes) {
                require(c.aimNs() >= 0, c.name() + ".aimNs", c.aimNs());
                require(c.threads() > 0, c.name() + ".threads", c.threads());
                require(c.worth() >= 0, c.name() + ".worth", c.worth());
                require(c.repeatSpanNs() >= 0, c.name() + ".repeatSpanNs", c.repeatSpanNs());
            }
            for (EngineKind k : kinds) {
                require(k.cores() > 0, k.name() + ".cores", k.cores());
            }
            require(allowed.attempts() > 0, "allowed.attempts", allowed.attempts());
            require(limits.coldFrom() >= 0, "limits.coldFrom", limits.coldFrom());
            require(
                    limits.resendsPerRequest() >= 0,
                    "limits.resendsPerRequest",
                    limits.resendsPerRequest());
            for (Tenant t : tenants) {
                require(t.quotaPerS() >= 0, t.name() + ".quotaPerS", t.quotaPerS());
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

    /** One line of the list of engines; {@code startedNs} 0 is long ago. */
    record ListEntry(
            String engine, Phase phase, String zone, String kind, long cell, long startedNs) {}

    /**
     * An engine's load report, {@code inHand} all queries that it holds; a value that it does not
     * tell is NaN.
     */
    record Report(
            double waiting,
            double coresBusy,
            double memoryGranted,
            double disksBusy,
            double inHand) {

        /** The report of an engine that tells nothing. */
        public static final Report NONE =
                new Report(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

        /** A report that does not tell the queries in hand. */
        public Report(double waiting, double coresBusy, double memoryGranted, double disksBusy) {
            this(waiting, coresBusy, memoryGranted, disksBusy, Double.NaN);
        }
    }

    /** What happens to a gateway. */
    sealed interface Event {}

    /** News of the engines; whole and remembered lists replace the list in hand. */
    record ListNews(ListForm form, List<ListEntry> entries) implements Event {}

    /**
     * A client asks. {@code key} is null for a query without order; {@code workNs} and {@code
     * memoryMb} are estimates, 0 where there are none.
     */
    record Request(
            long id,
            String queryClass,
            String key,
            long tables,
            long deadlineNs,
            long workNs,
            double memoryMb,
            String tenant)
            implements Event {

        /** A query of no tenant. */
        public Request(
                long id,
                String queryClass,
                String key,
                long tables,
                long deadlineNs,
                long workNs,
                double memoryMb) {
            this(id, queryClass, key, tables, deadlineNs, workNs, memoryMb, "");
        }
    }

    /** The client no longer waits; no answer is owed. */
    record ClientGone(long id) implements Event {}

    /**
     * How an attempt is doing; {@code amount} is the share done, the MB missing, or 1 memory, 2 a
     * load.
     */
    record Progress(long id, int attempt, String engine, NoteKind kind, double amount)
            implements Event {}

    /**
     * An attempt ended. {@code over} tells that the client has its answer; {@code workMs} and
     * {@code memoryMb} are what the query truly needed, 0 where untold.
     */
    record Ended(
            long id,
            int attempt,
            String engine,
            Outcome outcome,
            long tookNs,
            boolean over,
            double workMs,
            double memoryMb,
            Report report)
            implements Event {}

    /** A probe came back. */
    record Probed(String engine, Outcome outcome, long tookNs, Report report) implements Event {}

    /** An alarm set by this gateway came due. */
    record Alarm(long label) implements Event {}

    /** What a gateway decides. */
    sealed interface Action {}

    /** Send the query to an engine; the first send of a query is its attempt 0. */
    record Send(long id, String engine, long timeoutNs) implements Action {}

    /**
     * Grant and priority of the query's next attempts; the priority also holds for one that is out.
     */
    record Terms(long id, int priority, long memoryMb) implements Action {}

    /** Final answer: not done, and trying again is harmless. */
    record Refuse(long id, long retryAfterNs) implements Action {}

    /** Final answer: failed, with no promise about its effect. */
    record Fail(long id) implements Action {}

    /** Stop waiting for an attempt. */
    record Cancel(long id, int attempt) implements Action {}

    /** Ask an engine whether it answers, and for its report. */
    record Probe(String engine) implements Action {}

    /** Ask for an {@link Alarm} at that time. */
    record SetAlarm(long label, long timeNs) implements Action {}

    /** Ask for the list and its changes from now on. */
    record Subscribe() implements Action {}

    /** A line for the on-call staff. */
    record Log(String text) implements Action {}
}
