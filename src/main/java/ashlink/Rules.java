// Interface: Gateway.java, next to this file, declares settings, events and actions. All decisions are here.
package ashlink;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The decisions of one gateway, in the order in which a query meets them: taken, held, released to the
 * lighter of two random engines within a bound on threads, watched, ended; then the feedback that moves the
 * bounds, and what is believed of the engines. docs/design.md tells why.
 */
public final class Rules implements Gateway {

    // ---- Constants: unit and reason
    private static final long MS = 1_000_000L;
    /** Threads a core that seed an engine's bound: a little work overlaps with waits for the disks. */
    private static final double SEED_THREADS = 1.5;
    /** Step of the bound as a share of its seed, one thread at least: a wrong step costs little. */
    private static final double STEP_SHARE = 0.25;
    /** Gain in throughput that keeps a step up, and rise in response time that is a loss (the paper's 5%). */
    private static final double THRESHOLD = 0.05;
    /** Completions that close a period: the paper's number for stable means. */
    private static final int PERIOD_COMPLETIONS = 100;
    /** Nanoseconds after which a period closes while queries are held: feedback must not wait for ever. */
    private static final long PERIOD_NS = 2_000 * MS;
    /** Log of the response time over the usual one from which an engine is under pressure (2.5 times). */
    private static final double PRESSED_LOG = Math.log(2.5);
    /** Share of busy cores, and of granted memory, from which a report says busy. */
    private static final double BUSY_CORES = 0.95;
    private static final double BUSY_MEMORY = 0.95;
    /** Shares up to which a report says quiet: no level of threads slows an engine that is used so little. */
    private static final double QUIET_CORES = 0.6;
    private static final double QUIET_MEMORY = 0.4;
    /** Share of the engines on which a group of tables is loaded: readers get the other half. */
    private static final double LOAD_HOMES = 0.5;
    /** Nanoseconds for which a refusal by an engine counts as full, and a report as news. */
    private static final long FRESH_NS = 2_000 * MS;
    /** Times its bound up to which an engine without pressure is filled: news of pressure comes late. */
    private static final double FLOOD = 2;
    /** Share of the longest class's work that makes a query brief, and its further room in seeds. */
    private static final double BRIEF_SHARE = 0.2;
    private static final double BRIEF_LANE = 1.0;
    /** Nanoseconds for which an engine that refused gets nothing more: a resend at once is refused again. */
    private static final long FULL_PAUSE_NS = 200 * MS;
    /** Times its usual time after which a running query is slow, and the share of slow ones that presses. */
    private static final double SLOW_TIMES = 3;
    private static final double SLOW_SHARE = 0.4;
    /** Share of the time already run for which a given-up attempt that nothing stops is counted further. */
    private static final double GHOST_SHARE = 0.5;
    /** Weight of a new response time in an engine's mean: about the last ten queries. */
    private static final double MEAN_WEIGHT = 0.1;
    private static final double SHARE_WEIGHT = 0.02;
    private static final double CLASS_WEIGHT = 0.02;
    /** Quantile of a class's response times taken as its usual one, and the step of its tracker in logs. */
    private static final double USUAL_QUANTILE = 0.25;
    private static final double USUAL_STEP = 0.05;
    /** Share of the cold budget that is used: estimates lie, and other gateways round up too. */
    private static final double COLD_MARGIN = 0.6;
    /** Share of its cores that an engine's capacity is counted at. */
    private static final double CAPACITY = 0.85;
    /** Nanoseconds before the deadline by which a held query gets its answer, and an attempt is cut off. */
    private static final long ANSWER_NS = 60 * MS;
    private static final long CUT_NS = 10 * MS;
    /** Nanoseconds between rounds of house-keeping. */
    private static final long TICK_NS = 50 * MS;
    /** Nanoseconds between probes of an engine: a probe costs little, news older than this misleads. */
    private static final long PROBE_NS = 500 * MS;
    /** Missed probes in a row, and nanoseconds of silence with them, that make an engine silent. */
    private static final int MISSED_PROBES = 2;
    private static final long SILENT_NS = 700 * MS;
    /** Nanoseconds an engine is left alone after a failed connection or a reset; doubled up to the second. */
    private static final long AVOID_NS = 500 * MS;
    private static final long AVOID_MOST_NS = 4_000 * MS;
    /** Times its expected time from which a query has a bad plan, and restarts of one query. */
    private static final double BAD_PLAN = 4;
    private static final int BAD_PLAN_RESTARTS = 2;
    /** Memory granted over the estimate, and how fast the learnt correction follows. */
    private static final double GRANT_MARGIN = 1.1;
    private static final double GRANT_LEARN = 0.02;
    private static final double GRANT_QUANTILE = 0.88;
    private static final double GRANT_MOST = 2;
    /** Work in milliseconds assumed where nothing is told or learnt yet. */
    private static final double UNKNOWN_WORK_MS = 100;
    private static final long TICK_LABEL = 1;
    /** Outcomes after which the engine may still work on the attempt. */
    private static final Set<Outcome> MAY_STILL_RUN =
            Set.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED);

    // ---- What a gateway remembers
    private static final class ClassState {
        final QueryClass spec;
        double usualLog;                 // log of the usual response time x threads over the estimate
        double meanMs;                   // mean estimated work, 0 while nothing is told
        double memoryBias = 1;           // learnt need over the estimate

        ClassState(QueryClass spec) {
            this.spec = spec;
        }

        double usualMs() {
            return knownMs() * Math.max(1, Math.exp(usualLog));
        }

        double knownMs() {
            return meanMs > 0 ? meanMs : UNKNOWN_WORK_MS;
        }
    }

    private static final class Query {
        final long id;
        final ClassState cls;
        final KeyLine line;
        final long tables;
        final long takenNs;
        final long deadlineNs;
        final double workMs;             // estimate, corrected by what its class taught
        final double estimateMs;
        final double memoryMb;
        long seq;
        double worth;
        boolean over;
        Engine out;                      // engine of the attempt that is out
        int attempts;
        long sentNs;
        long grantMb;
        boolean cancelled;
        boolean spilled;
        int restarts;
        Engine mayHaveRunOn;
        long mayHaveRunNs;

        Query(Request r, ClassState cls, KeyLine line, double estimateMs, long now) {
            this.id = r.id();
            this.cls = cls;
            this.line = line;
            this.tables = r.tables();
            this.takenNs = now;
            this.deadlineNs = r.deadlineNs();
            this.estimateMs = estimateMs;
            this.workMs = estimateMs * Math.exp(cls.usualLog);
            this.memoryMb = r.memoryMb();
            this.worth = cls.spec.worth();
        }

        long usualNs() {
            return (long) (workMs / cls.spec.threads() * MS);
        }

        long aimNs() {
            return takenNs + cls.spec.aimNs() + (long) (cls.spec.aimStretch() * usualNs());
        }
    }

    private static final class KeyLine {
        final ArrayDeque<Query> waiting = new ArrayDeque<>();
        long restUntilNs = Long.MIN_VALUE;
    }

    private record ColdSend(long atNs, double workMs) { }

    private record Ghost(long untilNs, Query of) { }

    private static final class Engine {
        final String name;
        String zone;
        long cell;
        String kind;
        int cores = 1;
        double memoryMb;
        boolean listed;
        Phase phase;
        long startedNs;
        final ArrayDeque<ColdSend> coldSends = new ArrayDeque<>();
        final List<Query> running = new ArrayList<>();
        final ArrayDeque<Ghost> ghosts = new ArrayDeque<>();
        int threads;
        double workMs;
        double moved;                    // threads by which feedback moved the bound from its seed
        double lastStep;
        long periodStartNs;
        int completions;
        double responseSumNs;
        double lastThroughput;
        double lastResponseNs;
        boolean periodHeld;
        double slowLog;                  // mean log of response time over the usual
        long fullNs = Long.MIN_VALUE / 2;
        Report report = Report.NONE;
        long reportNs = Long.MIN_VALUE / 2;
        long heardNs = Long.MIN_VALUE / 2;
        long probedNs = Long.MIN_VALUE / 2;
        int missedProbes;
        long avoidNs;
        long avoidUntilNs = Long.MIN_VALUE;

        Engine(String name) {
            this.name = name;
        }
    }

    private final Settings settings;
    private final Limits limits;
    private final Allowed allowed;
    private final SplittableRandom random;
    private final Map<String, ClassState> classes = new LinkedHashMap<>();
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<String, KeyLine> keys = new HashMap<>();
    private final TreeSet<Query> held = new TreeSet<>(Rules::releaseOrder);
    private final ArrayDeque<Long> taken = new ArrayDeque<>();
    private final ArrayDeque<Long> resent = new ArrayDeque<>();
    private List<Action> out = new ArrayList<>();
    private boolean loads;
    private boolean readersWait;
    private double share;                // learnt share of what keeps the engines busy
    private boolean ticking;
    private long sequence;
    private long now;

    /** Starts a gateway that knows nothing but its settings. */
    public Rules(Settings settings) {
        this.settings = settings;
        this.limits = settings.limits();
        this.allowed = settings.allowed();
        this.random = new SplittableRandom(settings.seed());
        for (QueryClass c : settings.classes()) {
            classes.put(c.name(), new ClassState(c));
            loads |= c.holdsTables();
            readersWait |= c.waitsForTables();
        }
    }

    @Override
    public List<Action> on(Event event, long nowNs) {
        out = new ArrayList<>();
        now = nowNs;
        if (!ticking) {
            ticking = true;
            if (allowed.listMustBeAsked()) {
                out.add(new Subscribe());
            }
            out.add(new SetAlarm(TICK_LABEL, now + TICK_NS));
        }
        if (event instanceof Request r) {
            take(r);
        } else if (event instanceof Ended e) {
            ended(e);
        } else if (event instanceof Progress p) {
            progress(p);
        } else if (event instanceof Probed p) {
            probed(p);
        } else if (event instanceof ClientGone g) {
            clientGone(g);
        } else if (event instanceof ListNews news) {
            listNews(news);
        } else if (event instanceof Alarm a && a.label() == TICK_LABEL) {
            tick();
        }
        return out;
    }

    // ---- A query is taken and held
    private void take(Request r) {
        ClassState cls = classes.get(r.queryClass());
        if (cls == null || queries.containsKey(r.id())) {
            out.add(new Refuse(r.id(), 0)); // a class that the settings don't know can go nowhere
            return;
        }
        if (limits.budgetSpanNs() > 0) {
            taken.add(now);
        }
        double estimate = r.workNs() > 0 ? r.workNs() / (double) MS : cls.knownMs();
        if (r.workNs() > 0) {
            cls.meanMs += (cls.meanMs > 0 ? CLASS_WEIGHT : 1) * (estimate - cls.meanMs);
        }
        KeyLine line = cls.spec.inOrder() && r.key() != null
                ? keys.computeIfAbsent(r.key(), k -> new KeyLine()) : null;
        Query q = new Query(r, cls, line, estimate, now);
        q.seq = sequence++;
        queries.put(q.id, q);
        if (line != null) {
            line.waiting.add(q);
        }
        held.add(q);
        release();
        answerIfDue(q);
    }

    /** Highest worth first; among equals the one with least work, which lets most of them be in time. */
    private static int releaseOrder(Query a, Query b) {
        int byWorth = Double.compare(b.worth, a.worth);
        int byWork = Double.compare(a.workMs, b.workMs);
        return byWorth != 0 ? byWorth : byWork != 0 ? byWork : Long.compare(a.seq, b.seq);
    }

    /** Releases held queries in order; a class that found no room is not tried further in this round. */
    private void release() {
        List<ClassState> full = new ArrayList<>();
        for (Query q : List.copyOf(held)) {
            if (full.contains(q.cls) || !hasTurn(q)) {
                continue;
            }
            Engine e = choose(q);
            if (e == null) {
                full.add(q.cls);
            } else {
                held.remove(q);
                send(q, e);
            }
        }
    }

    // ---- The choice of engine
    /** The lighter of two random engines that rules, health and bounds leave open, or null. */
    private Engine choose(Query q) {
        List<Engine> open = new ArrayList<>();
        List<Engine> healthy = new ArrayList<>();
        for (Engine e : engines.values()) {
            if (maySend(q, e)) {
                open.add(e);
                if (!shunned(e)) {
                    healthy.add(e);
                }
            }
        }
        // Guards against a shared cause: where most engines look bad, none of them is shunned.
        List<Engine> candidates = healthy.size() * 2 >= open.size() ? healthy : open;
        candidates.removeIf(e -> !hasRoom(q, e));
        prefer(q, candidates);
        int n = candidates.size();
        if (n == 0) {
            return null;
        }
        Engine first = candidates.remove(random.nextInt(n));
        if (n == 1) {
            return first;
        }
        Engine second = candidates.get(random.nextInt(n - 1));
        return load(second, q) < load(first, q) ? second : first;
    }

    /** Narrows the candidates to those that keep loads and readers apart, where any of them is left. */
    private void prefer(Query q, List<Engine> candidates) {
        if (loads && readersWait && (q.cls.spec.holdsTables() || q.cls.spec.waitsForTables())) {
            List<Engine> homes = homes(q.tables);
            narrow(candidates, e -> homes.contains(e) == q.cls.spec.holdsTables());
        }
    }

    private static void narrow(List<Engine> candidates, Predicate<Engine> wanted) {
        if (candidates.stream().anyMatch(wanted)) {
            candidates.removeIf(wanted.negate());
        }
    }

    /**
     * Guards readers against standing still behind loads of their tables: all gateways hash a group to the
     * same engines, load it there and read it elsewhere, without a word between them.
     */
    private List<Engine> homes(long tables) {
        List<Engine> ready = new ArrayList<>();
        for (Engine e : engines.values()) {
            if (e.listed && e.phase == Phase.READY) {
                ready.add(e);
            }
        }
        Map<Engine, Long> rank = new HashMap<>();
        ready.forEach(e -> rank.put(e, new SplittableRandom(31L * e.name.hashCode() + tables).nextLong()));
        ready.sort(Comparator.comparingLong((Engine e) -> rank.get(e)).thenComparing(e -> e.name));
        return ready.subList(0, (int) Math.ceil(LOAD_HOMES * ready.size()));
    }

    /** Estimated work of ours that runs there, with this query, by core. */
    private double load(Engine e, Query q) {
        return (e.workMs + q.workMs) / e.cores;
    }

    /**
     * The bound on threads binds only under pressure, and never an engine that runs none of ours. Guards
     * against floods: gateways that hold queries see the same dip and would all fill one engine at once.
     */
    private boolean hasRoom(Query q, Engine e) {
        boolean idle = e.running.isEmpty() && e.ghosts.isEmpty();
        double limit = pressed(e) ? bound(e) : Math.max(bound(e), FLOOD * seed(e));
        if (brief(q)) {
            limit += BRIEF_LANE * seed(e);
        }
        boolean room = now - e.fullNs >= FULL_PAUSE_NS && (idle || e.threads < limit);
        if (!room) {
            e.periodHeld = true;
        }
        return room;
    }

    private double bound(Engine e) {
        return Math.max(1, seed(e) + e.moved);
    }

    private double seed(Engine e) {
        return Math.max(1, SEED_THREADS * e.cores * Math.max(share, 1.0 / settings.gateways()));
    }

    /**
     * Guards a gateway with far more traffic than the others against an equal share: where reports tell how
     * busy the cores are, its share is that of its own threads in what keeps them busy.
     */
    private void learnShare() {
        double own = 0;
        double busy = 0;
        for (Engine e : engines.values()) {
            if (e.listed && now - e.reportNs < FRESH_NS && e.report.coresBusy() > 0) {
                own += e.threads;
                busy += e.report.coresBusy() * e.cores * SEED_THREADS;
            }
        }
        share += SHARE_WEIGHT * ((busy > 0 ? Math.min(1, own / busy) : 0) - share);
    }

    /** Guards brief queries against waiting for room behind long ones: the paper's case for more room. */
    private boolean brief(Query q) {
        double longest = 0;
        for (ClassState c : classes.values()) {
            longest = Math.max(longest, c.usualMs());
        }
        return q.workMs < BRIEF_SHARE * longest;
    }

    /** Pressure: response times far above the usual, a report that says busy, or a refusal just now. */
    private boolean pressed(Engine e) {
        boolean news = now - e.reportNs < FRESH_NS;
        boolean busy = news && (e.report.waiting() >= 1 || e.report.coresBusy() >= BUSY_CORES
                || e.report.memoryGranted() >= BUSY_MEMORY);
        // Guards against taking a stall behind a load for a high level: a quiet report overrules slowness.
        boolean quiet = news && (e.report.coresBusy() < QUIET_CORES);
        return busy || now - e.fullNs < FRESH_NS || !quiet && (e.slowLog > PRESSED_LOG || slowRunning(e));
    }

    /** Guards against learning of a jam only from what comes out of it: many of ours already run for long. */
    private boolean slowRunning(Engine e) {
        int slow = 0;
        for (Query q : e.running) {
            slow += now - q.sentNs > SLOW_TIMES * q.usualNs() ? 1 : 0;
        }
        return slow > SLOW_SHARE * e.running.size();
    }

    // ---- The one send path: the rules are kept here
    private boolean maySend(Query q, Engine e) {
        return e.listed && e.phase == Phase.READY
                && (q.cls.spec.kinds().isEmpty() || q.cls.spec.kinds().contains(e.kind))
                && (q.cls.spec.zones().isEmpty() || q.cls.spec.zones().contains(e.zone))
                && !q.over && q.out == null && q.attempts < allowed.attempts()
                && hasTurn(q) && effectAllows(q, e) && withinColdBudget(q, e) && withinResendBudget(q);
    }

    private boolean hasTurn(Query q) {
        return q.line == null
                || q.line.waiting.peek() == q && (q.attempts > 0 || now >= q.line.restUntilNs);
    }

    /** An unsafe query that may have run stays; a deduplicated one goes where repeats are dropped. */
    private boolean effectAllows(Query q, Engine e) {
        if (q.mayHaveRunOn == null || q.cls.spec.effect() == Effect.IDEMPOTENT) {
            return true;
        }
        boolean group = switch (q.cls.spec.repeatGroup()) {
            case ALL -> true;
            case ZONE -> e.zone.equals(q.mayHaveRunOn.zone);
            case CELL -> e.cell == q.mayHaveRunOn.cell;
        };
        return q.cls.spec.effect() == Effect.DEDUPLICATED && group
                && now - q.mayHaveRunNs < q.cls.spec.repeatSpanNs() - TICK_NS;
    }

    /** Guards a cold engine: all that we send it in a window stays under our share of what it bears. */
    private boolean withinColdBudget(Query q, Engine e) {
        if (!cold(e)) {
            return true;
        }
        while (!e.coldSends.isEmpty() && e.coldSends.peek().atNs() <= now - limits.coldWindowNs()) {
            e.coldSends.poll();
        }
        double sum = q.cls.usualMs();
        for (ColdSend s : e.coldSends) {
            sum += s.workMs();
        }
        double bears = limits.coldMultiple() * limits.coldFrom() * e.cores * CAPACITY
                * limits.coldWindowNs() / MS;
        return sum <= COLD_MARGIN * bears / settings.gateways();
    }

    private boolean cold(Engine e) {
        return e.startedNs > 0 && limits.coldMultiple() > 0 && now < e.startedNs + limits.coldNs();
    }

    private boolean withinResendBudget(Query q) {
        if (limits.budgetSpanNs() <= 0 || q.attempts == 0) {
            return true;
        }
        long from = now - limits.budgetSpanNs();
        while (!taken.isEmpty() && taken.peek() <= from) {
            taken.poll();
        }
        while (!resent.isEmpty() && resent.peek() < from) {
            resent.poll();
        }
        return resent.size() + 1 <= limits.freeResends() + limits.resendsPerRequest() * taken.size();
    }

    private void send(Query q, Engine e) {
        if (limits.budgetSpanNs() > 0 && q.attempts > 0) {
            resent.add(now);
        }
        if (cold(e)) {
            e.coldSends.add(new ColdSend(now, q.cls.usualMs()));
        }
        if (e.running.isEmpty() && e.completions == 0) {
            e.periodStartNs = now;
        }
        q.grantMb = allowed.grants() && q.memoryMb > 0 ? grant(q, e) : 0;
        if (allowed.grants() || allowed.priorities()) {
            out.add(new Terms(q.id, priority(q), q.grantMb));
        }
        q.out = e;
        q.sentNs = now;
        q.attempts++;
        q.cancelled = false;
        q.spilled = false;
        e.running.add(q);
        e.threads += q.cls.spec.threads();
        e.workMs += q.workMs;
        out.add(new Send(q.id, e.name, Math.max(MS, q.deadlineNs - now - CUT_NS)));
    }

    private long grant(Query q, Engine e) {
        double most = e.memoryMb > 0 ? allowed.largestGrant() * e.memoryMb : Double.MAX_VALUE;
        return Math.max(1, Math.round(Math.min(most, q.memoryMb * q.cls.memoryBias * GRANT_MARGIN)));
    }

    /** Brief queries go first where cores are short: they delay long ones little. What is late goes last. */
    private int priority(Query q) {
        if (!allowed.priorities()) {
            return 1;
        }
        if (now >= q.aimNs()) {
            return 0;
        }
        return brief(q) ? 3 : 1;
    }

    // ---- A running query is watched
    private void progress(Progress p) {
        Query q = queries.get(p.id());
        Engine e = engines.get(p.engine());
        if (e != null) {
            heard(e);
        }
        if (q == null || q.out == null || q.out != e || p.attempt() != q.attempts - 1) {
            return;
        }
        if (p.kind() == NoteKind.SPILLS_MB) {
            q.spilled = true;
        } else if (p.kind() == NoteKind.SHARE_DONE && p.amount() > 0) {
            restartBadPlan(q, p.amount());
        }
    }

    /** Guards against bad plans: what still lies ahead is far more than a fresh start would take. */
    private void restartBadPlan(Query q, double share) {
        long ran = now - q.sentNs;
        double ahead = ran * (1 - share) / share;
        double fresh = q.usualNs() * Math.exp(Math.max(0, q.out.slowLog));
        if (movable(q) && q.restarts < BAD_PLAN_RESTARTS
                && ahead + ran > BAD_PLAN * fresh && ahead > 2 * fresh && now + fresh < q.deadlineNs) {
            q.restarts++;
            cancel(q);
        }
    }

    private void cancel(Query q) {
        q.cancelled = true;
        out.add(new Cancel(q.id, q.attempts - 1));
    }

    // ---- An attempt ends
    private void ended(Ended e) {
        Query q = queries.get(e.id());
        Engine engine = engines.get(e.engine());
        if (engine != null) {
            note(engine, e.report());
            judge(engine, e.outcome());
        }
        if (q == null || q.out == null || e.attempt() != q.attempts - 1) {
            return;
        }
        Engine ran = q.out;
        ran.running.remove(q);
        q.out = null;
        if (e.outcome() == Outcome.SERVED) {
            learn(q, ran, e);
        }
        if (e.outcome().mayHaveRun() && q.mayHaveRunOn == null) {
            q.mayHaveRunOn = ran;
            q.mayHaveRunNs = q.sentNs;
        }
        boolean mayStillRun = MAY_STILL_RUN.contains(e.outcome());
        if (q.line != null && mayStillRun) {
            q.line.restUntilNs = now + limits.keyRestNs();
        }
        // Guards against an engine that looks idle while it still works on what was given up there.
        boolean haunts = mayStillRun && !allowed.cancels();
        ran.ghosts.add(new Ghost(haunts ? now + (long) (GHOST_SHARE * (now - q.sentNs)) : now, q));
        layGhosts(ran);
        q.over |= e.over();
        if (!q.over) {
            again(q);
        } else {
            forget(q);
        }
        closePeriodIfDue(ran);
        release();
    }

    private void layGhosts(Engine e) {
        for (Ghost g : List.copyOf(e.ghosts)) {
            if (now >= g.untilNs()) {
                e.ghosts.remove(g);
                e.threads -= g.of().cls.spec.threads();
                e.workMs -= g.of().workMs;
            }
        }
    }

    /** Another attempt where the rules allow one and time is left, else the final answer. */
    private void again(Query q) {
        boolean repeatable = q.mayHaveRunOn == null || q.cls.spec.effect() != Effect.AT_MOST_ONCE;
        if (repeatable && q.attempts < allowed.attempts() && now + ANSWER_NS < q.deadlineNs) {
            held.add(q);
        } else {
            answer(q);
        }
    }

    /** Guards against answers after the client's time, also for a query whose time is short on arrival. */
    private void answerIfDue(Query q) {
        if (held.contains(q) && now + ANSWER_NS >= q.deadlineNs) {
            answer(q);
        }
    }

    /** The one finish path: refuses where that is harmless, else fails; at once, with retry advice. */
    private void answer(Query q) {
        held.remove(q);
        q.over = true;
        boolean harmless = q.out == null && (q.mayHaveRunOn == null
                || q.cls.spec.effect() == Effect.IDEMPOTENT
                || q.cls.spec.effect() == Effect.DEDUPLICATED && q.cls.spec.repeatGroup() == RepeatGroup.ALL);
        out.add(harmless ? new Refuse(q.id, allowed.longestRetryAfterNs()) : new Fail(q.id));
        forget(q);
    }

    /** Drops a query that is over and has nothing out, and lets the next of its key go. */
    private void forget(Query q) {
        if (!q.over || q.out != null) {
            return;
        }
        held.remove(q);
        queries.remove(q.id);
        if (q.line != null) {
            q.line.waiting.remove(q);
        }
    }

    private void clientGone(ClientGone g) {
        Query q = queries.get(g.id());
        if (q == null) {
            return;
        }
        if (q.out != null && movable(q)) {
            cancel(q); // the work would serve nobody
        }
        q.over = true;
        held.remove(q);
        forget(q);
        release();
    }

    // ---- Feedback: what answers teach, and the steps of the bound
    private void learn(Query q, Engine e, Ended end) {
        double stretch = Math.log(Math.max(1e-3,
                end.tookNs() / (double) MS * q.cls.spec.threads() / Math.max(1e-3, q.estimateMs)));
        if (!pressed(e)) { // a jam must not become the usual, nor the lucky ones that pass it
            q.cls.usualLog += USUAL_STEP * (stretch < q.cls.usualLog ? USUAL_QUANTILE - 1 : USUAL_QUANTILE);
        }
        e.slowLog += MEAN_WEIGHT * (stretch - q.cls.usualLog - e.slowLog);
        e.completions++;
        e.responseSumNs += end.tookNs();
        if (q.memoryMb > 0 && q.grantMb > 0) {
            learnGrant(q, q.spilled || end.memoryMb() > q.grantMb);
        }
    }

    /** Moves the correction so that a set share of the class's queries fits: estimates lie by class. */
    private void learnGrant(Query q, boolean tooSmall) {
        double by = GRANT_LEARN * (tooSmall ? GRANT_QUANTILE : GRANT_QUANTILE - 1);
        q.cls.memoryBias = Math.min(GRANT_MOST, Math.max(1 / GRANT_MOST, q.cls.memoryBias + by));
    }

    private void closePeriodIfDue(Engine e) {
        long length = now - e.periodStartNs;
        if (e.completions < PERIOD_COMPLETIONS && !(e.periodHeld && length >= PERIOD_NS)) {
            return;
        }
        double throughput = e.completions / (double) Math.max(1, length);
        double response = e.completions > 0 ? e.responseSumNs / e.completions : e.lastResponseNs;
        step(e, throughput, response);
        e.lastThroughput = throughput;
        e.lastResponseNs = response;
        e.completions = 0;
        e.responseSumNs = 0;
        e.periodStartNs = now;
        e.periodHeld = false;
    }

    /** While queries are held: a step up stays only if throughput gained; else the bound drifts down. */
    private void step(Engine e, double throughput, double response) {
        double size = Math.max(1, STEP_SHARE * seed(e));
        boolean outwait = heldOutwaitAims();
        boolean slower = e.lastResponseNs > 0 && response > e.lastResponseNs * (1 + THRESHOLD);
        boolean mayFall = !outwait && !slower && (e.moved >= size || e.fullNs >= e.periodStartNs);
        if (e.periodHeld) {
            boolean gained = throughput > e.lastThroughput * (1 + THRESHOLD);
            if (e.lastStep > 0 && !gained) {
                move(e, mayFall ? -size : 0);
            } else {
                move(e, size);
            }
        } else {
            boolean lost = throughput < e.lastThroughput * (1 - THRESHOLD);
            move(e, lost && e.lastStep < 0 ? size : mayFall ? -size : 0);
        }
    }

    private void move(Engine e, double by) {
        e.moved = Math.max(1 - seed(e), e.moved + by);
        e.lastStep = by;
    }

    private boolean heldOutwaitAims() {
        for (Query q : held) {
            if (now >= q.aimNs()) {
                return true;
            }
        }
        return false;
    }

    // ---- What is believed of the engines
    private void note(Engine e, Report r) {
        if (!r.equals(Report.NONE)) {
            e.report = r;
            e.reportNs = now;
        }
    }

    private void heard(Engine e) {
        e.heardNs = now;
        e.missedProbes = 0;
    }

    private void judge(Engine e, Outcome outcome) {
        switch (outcome) {
            case SERVED, ERROR -> {
                heard(e);
                e.avoidNs = 0;
            }
            case TURNED_AWAY -> {
                heard(e);
                e.fullNs = now;
            }
            case NO_CONNECTION, RESET -> {
                e.avoidNs = Math.min(AVOID_MOST_NS, Math.max(AVOID_NS, 2 * e.avoidNs));
                e.avoidUntilNs = now + e.avoidNs;
            }
            default -> { }
        }
    }

    private void probed(Probed p) {
        Engine e = engines.get(p.engine());
        if (e == null) {
            return;
        }
        note(e, p.report());
        if (p.outcome() == Outcome.SERVED) {
            heard(e);
        } else {
            e.missedProbes++;
        }
    }

    /** Guards against engines that are down, cut off or silent, whatever the list says of them. */
    private boolean shunned(Engine e) {
        return now < e.avoidUntilNs || silent(e);
    }

    private boolean silent(Engine e) {
        return e.missedProbes >= MISSED_PROBES && now - e.heardNs > SILENT_NS;
    }

    private void listNews(ListNews news) {
        if (news.form() == ListForm.REFUSED) {
            out.add(new Subscribe());
            return;
        }
        if (news.form() != ListForm.CHANGES) {
            for (Engine e : engines.values()) {
                e.listed = false;
            }
        }
        for (ListEntry entry : news.entries()) {
            listed(entry);
        }
        release();
    }

    private void listed(ListEntry entry) {
        Engine e = engines.computeIfAbsent(entry.engine(), Engine::new);
        boolean restarted = e.kind == null || entry.startedNs() > e.startedNs;
        e.listed = entry.phase() != Phase.GONE;
        e.phase = entry.phase();
        e.zone = entry.zone();
        e.cell = entry.cell();
        e.kind = entry.kind();
        e.startedNs = entry.startedNs();
        for (EngineKind k : settings.kinds()) {
            if (k.name().equals(e.kind)) {
                e.cores = k.cores();
                e.memoryMb = k.memoryMb();
            }
        }
        if (restarted) {
            e.moved = 0;
            e.slowLog = 0;
            e.avoidUntilNs = Long.MIN_VALUE;
            e.avoidNs = 0;
            e.missedProbes = 0;
        }
    }

    // ---- House-keeping
    private void tick() {
        out.add(new SetAlarm(TICK_LABEL, now + TICK_NS));
        learnShare();
        boolean contended = contended();
        for (Query q : List.copyOf(held)) {
            answerIfDue(q);
            boolean late = now + q.usualNs() >= q.aimNs();
            if (held.contains(q) && late && (contended || q.cls.spec.lateShare() == 0)) {
                answer(q); // given up for those that can still be in time
            } else if (held.contains(q) && late && q.worth == q.cls.spec.worth()) {
                held.remove(q);
                q.worth = q.cls.spec.worth() * q.cls.spec.lateShare();
                held.add(q);
            }
        }
        for (Engine e : engines.values()) {
            if (!e.listed) {
                continue;
            }
            if (allowed.probes() && now - e.probedNs >= PROBE_NS) {
                e.probedNs = now;
                out.add(new Probe(e.name));
            }
            layGhosts(e);
            closePeriodIfDue(e);
            if (silent(e)) {
                leave(e);
            }
        }
        release();
    }

    /** True while queries that can still be in time have waited for room. */
    private boolean contended() {
        for (Query q : held) {
            if (now - q.takenNs > TICK_NS && now + q.usualNs() < q.aimNs() && hasTurn(q)) {
                return true;
            }
        }
        return false;
    }

    /** Takes repeatable queries away from a silent engine, where a cancel frees them. */
    private void leave(Engine e) {
        for (Query q : e.running) {
            if (movable(q)) {
                cancel(q);
            }
        }
    }

    private boolean movable(Query q) {
        return allowed.cancels() && q.cls.spec.effect() == Effect.IDEMPOTENT && !q.over && !q.cancelled
                && q.attempts < allowed.attempts();
    }
}
