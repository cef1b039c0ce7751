// Interface: Gateway.java, next to this file, declares settings, events and actions. All decisions
// are here.
package ashlink.decisions;

import ashlink.decisions.State.Bound;
import ashlink.decisions.State.ClassFacts;
import ashlink.decisions.State.Engine;
import ashlink.decisions.State.Ghost;
import ashlink.decisions.State.KeyLine;
import ashlink.decisions.State.Query;
import ashlink.decisions.State.TenantFacts;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The decisions of one gateway, in the order in which a query meets them: taken, held, released to
 * the lighter of two random engines within a bound on threads, watched, ended; then the feedback
 * that moves the bounds, and what is believed of the engines. docs/design.md tells why.
 */
public final class DefaultWorkloadManager implements WorkloadManager {

    // ---- Constants: unit and reason
    private static final long MS = 1_000_000L;

    /**
     * Threads a core that seed an engine's bound: a little work overlaps with waits for the disks.
     */
    private static final double SEED_THREADS = 1.5;

    /** Step of the bound as a share of its seed, one thread at least: a wrong step costs little. */
    private static final double STEP_SHARE = 0.25;

    /**
     * Gain in throughput that keeps a step up, and rise in response time that is a loss (the
     * paper's 5%).
     */
    private static final double THRESHOLD = 0.05;

    /** Completions that close a period: the paper's number for stable means. */
    private static final int PERIOD_COMPLETIONS = 100;

    /**
     * Nanoseconds after which a period closes while queries are held: feedback must not wait for
     * ever.
     */
    private static final long PERIOD_NS = 2_000 * MS;

    /** Completions that such a period needs: one or two are no measurement. */
    private static final int LEAST_COMPLETIONS = 10;

    /**
     * Log of a time over the usual one from which an engine is pressed, or a query overdue (2.5
     * times).
     */
    private static final double PRESSED_LOG = Math.log(2.5);

    /** Share of busy cores, or of granted memory, from which a report says busy. */
    private static final double BUSY = 0.95;

    /** Share of the engines on which a group of tables is loaded: readers get the other half. */
    private static final double LOAD_HOMES = 0.5;

    /** Nanoseconds for which a refusal by an engine counts as full, and a report as news. */
    private static final long FRESH_NS = 2_000 * MS;

    /**
     * Times its bound up to which an engine without pressure is filled: news of pressure comes
     * late.
     */
    private static final double FLOOD = 2;

    /** Work of ours a core, in milliseconds, that weighs as much as a busy core in a report. */
    private static final double OWN_WORK_MS = 1_000;

    /** Share of the engines with fresh news up to which those under pressure are few. */
    private static final double CALM = 0.3;

    /** Weight for free classes of engines of the kinds that bound classes need. */
    private static final double WANTED = 1.5;

    /**
     * Share of the longest class's work that makes a query brief, and its further room in seeds.
     */
    private static final double BRIEF_SHARE = 0.2;

    private static final double BRIEF_LANE = 1.0;

    /**
     * Nanoseconds for which an engine that refused gets nothing more: a resend at once is refused
     * again.
     */
    private static final long FULL_PAUSE_NS = 200 * MS;

    /**
     * Queries waiting for memory, a core, from which an engine counts as full: more lengthen its
     * line.
     */
    private static final double LINE_A_CORE = 0.25;

    /**
     * Nanoseconds in which what answers told of an engine fades, and the most answers that count.
     */
    private static final long SLOW_FADE_NS = 10_000 * MS;

    private static final double SLOW_ANSWERS = 10;

    /**
     * Share of the time already run for which a given-up attempt that nothing stops is counted
     * further.
     */
    private static final double GHOST_SHARE = 0.5;

    /**
     * Weights of news in means of response times, our share and estimates; estimates that are few.
     */
    private static final double MEAN_WEIGHT = 0.1;

    private static final double SHARE_WEIGHT = 0.02;
    private static final double CLASS_WEIGHT = 0.02;
    private static final int FEW = 10;

    /**
     * Quantile of a class's response times taken as its usual one, and the step of its tracker in
     * logs.
     */
    private static final double USUAL_QUANTILE = 0.25;

    private static final double USUAL_STEP = 0.05;

    /** Log of the upper quartile over the usual one up to which times are even (2 times). */
    private static final double SPREAD_LOG = Math.log(2);

    /**
     * Nanoseconds in which what a tenant sent fades: shorter spans hold too few queries of one
     * gateway.
     */
    private static final long TENANT_FADE_NS = 5_000 * MS;

    /** Share of the cold budget that is used: estimates lie, and other gateways round up too. */
    private static final double COLD_MARGIN = 0.6;

    /**
     * Share of a cold window that may be saved up; queries that the engine must bear for one by
     * chance.
     */
    private static final double COLD_BURST = 0.5;

    private static final double COLD_PARTS = 20;

    /** Share of its cores that an engine's capacity is counted at. */
    private static final double CAPACITY = 0.85;

    /**
     * Nanoseconds before the deadline by which a held query gets its answer, and an attempt is cut
     * off.
     */
    private static final long ANSWER_NS = 60 * MS;

    private static final long CUT_NS = 10 * MS;

    /** Nanoseconds between rounds of house-keeping. */
    private static final long TICK_NS = 50 * MS;

    /**
     * Nanoseconds after which news of an engine is stale, and for which a query waits for fresh
     * news.
     */
    private static final long STALE_NS = 500 * MS;

    private static final long SCOUT_NS = 20 * MS;

    /**
     * Probes earned by a query taken, and the most saved up: probes must not outgrow the queries.
     */
    private static final double PROBES_PER_QUERY = 1;

    private static final double PROBES_A_TICK = 0.05;
    private static final double PROBES_SAVED = 20;

    /**
     * Periods of notes, or usual times where none come, without a sign of an engine that make it
     * silent.
     */
    private static final double SILENT_NOTES = 1.6;

    private static final double SILENT_LOG = Math.log(8);
    private static final long SILENT_NS = 700 * MS;

    /**
     * Nanoseconds an engine is left alone after a failed connection or a reset; doubled up to the
     * second.
     */
    private static final long AVOID_NS = 500 * MS;

    private static final long AVOID_MOST_NS = 4_000 * MS;

    /**
     * Weight of an answer in an engine's share of errors, and the share from which it is left
     * alone.
     */
    private static final double ERROR_WEIGHT = 0.25;

    private static final double ERRORS = 0.5;

    /** Times its expected time from which a query has a bad plan, and restarts of one query. */
    private static final double BAD_PLAN = 4;

    private static final int BAD_PLAN_RESTARTS = 2;

    /** Memory granted over the estimate, and how fast the learnt correction follows. */
    private static final double GRANT_MARGIN = 1.1;

    private static final double GRANT_LEARN = 0.1;
    private static final double GRANT_QUANTILE = 0.75;

    /**
     * Times its grant that a spilling query must lack, and share of its time run, to start again.
     */
    private static final double SHORT_GRANT = 1.3;

    private static final double EARLY = 0.2;
    private static final long TICK_LABEL = 1;
    private static final long SCOUT_LABEL = 2;

    /** Outcomes after which the engine may still work on the attempt. */
    private static final Set<Outcome> MAY_STILL_RUN =
            Set.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED);

    private final Settings settings;
    private final PolicyLimits limits;
    private final Capabilities allowed;
    private final SplittableRandom random;
    private final Map<String, ClassFacts> classes = new LinkedHashMap<>();
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, List<Engine>> homesOf = new HashMap<>();
    private final Map<String, TenantFacts> tenants = new HashMap<>();
    private final Map<String, KeyLine> keys = new HashMap<>();
    private final TreeSet<Query> held = new TreeSet<>(DefaultWorkloadManager::releaseOrder);
    private final ArrayDeque<Long> taken = new ArrayDeque<>();
    private final ArrayDeque<Long> resent = new ArrayDeque<>();
    private List<Action> out = new ArrayList<>();
    private final Bound pool = new Bound();
    private final Set<String> boundKinds = new HashSet<>();
    private final boolean apart; // loads and readers of a group keep to different engines
    private double slowLog; // as an engine's, over all of them
    private double crowd; // threads a core of all gateways, over the engines with fresh news
    private double runTicks; // ticks that our queries ran in engines, and the same by threads
    private double runThreadTicks;
    private double luck; // drawn each tick: who may let one in where its bound has no room
    private double share; // learnt share of what keeps the engines busy
    private double probes = PROBES_SAVED;
    private boolean calm = true; // few engines are under pressure
    private boolean ticking;
    private long sequence;
    private long now;

    /** Starts a gateway that knows nothing but its settings. */
    public DefaultWorkloadManager(Settings settings) {
        this.settings = settings;
        this.limits = settings.limits();
        this.allowed = settings.capabilities();
        this.random = new SplittableRandom(settings.seed());
        this.apart =
                settings.classes().stream().anyMatch(QueryClass::locksTables)
                        && settings.classes().stream().anyMatch(QueryClass::waitsForTableLocks);
        settings.tenants().stream()
                .filter(t -> t.quotaPerS() > 0)
                .forEach(t -> tenants.put(t.name(), new TenantFacts(t.quotaPerS())));
        for (QueryClass c : settings.classes()) {
            classes.put(c.name(), new ClassFacts(c));
            boundKinds.addAll(c.engineKinds());
        }
    }

    @Override
    public List<Action> onEvent(Event event, long nowNs) {
        out = new ArrayList<>();
        now = nowNs;
        if (!ticking) {
            ticking = true;
            if (allowed.endpointsMustBeWatched()) {
                out.add(new WatchEndpoints());
            }
            out.add(new SetTimer(TICK_LABEL, now + TICK_NS));
        }
        if (event instanceof QuerySubmitted r) {
            take(r);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof AttemptProgress p) {
            progress(p);
        } else if (event instanceof HealthCheckCompleted p) {
            probed(p);
        } else if (event instanceof ClientDisconnected g) {
            clientGone(g);
        } else if (event instanceof EndpointsChanged news) {
            listNews(news);
        } else if (event instanceof TimerFired a && a.label() == TICK_LABEL) {
            tick();
        } else if (event instanceof TimerFired) {
            release();
        }
        return out;
    }

    // ---- A query is taken and held
    private void take(QuerySubmitted r) {
        ClassFacts cls = classes.get(r.queryClass());
        if (cls == null || queries.containsKey(r.id())) {
            out.add(new Reject(r.id(), 0)); // a class that the settings don't know can go nowhere
            return;
        }
        taken.add(now);
        double estimate =
                r.estimatedWorkNs() > 0 ? r.estimatedWorkNs() / (double) MS : priorMs(cls);
        if (r.estimatedWorkNs() > 0) {
            double weight = Math.max(CLASS_WEIGHT, 1.0 / ++cls.estimates);
            cls.meanEstimateMs += weight * (estimate - cls.meanEstimateMs);
        }
        probes = Math.min(PROBES_SAVED, probes + PROBES_PER_QUERY);
        boolean ordered = cls.spec.ordered() && r.key() != null;
        KeyLine line = ordered ? keys.computeIfAbsent(r.key(), k -> new KeyLine()) : null;
        double part = tenants.containsKey(r.tenant()) ? worthOf(tenants.get(r.tenant())) : 1;
        double worth = cls.spec.priorityWeight() * part;
        double work = estimate * Math.exp(cls.usualLog);
        Query q = new Query(r, cls, line, sequence++, estimate, work, worth, now);
        queries.put(q.id, q);
        if (line != null) {
            line.waiting.add(q);
        }
        held.add(q);
        release();
        answerIfDue(q);
    }

    /**
     * Guards tenants within their share against one beyond it, by our part of the quota: it leaves
     * later.
     */
    private double worthOf(TenantFacts t) {
        t.count = 1 + t.count * Math.exp(-(now - t.lastNs) / (double) TENANT_FADE_NS);
        t.lastNs = now;
        double quota =
                t.quotaPerS
                        * (share + 1.0 / settings.routerCount())
                        / 2
                        * TENANT_FADE_NS
                        / (1_000 * MS);
        double within = Math.min(1, quota / t.count);
        return within + (1 - within) * settings.overQuotaWeight();
    }

    /**
     * Mean work of a class, on the safe side: estimated, or told by answers where none are given.
     */
    private static double usualMs(ClassFacts c) {
        double estimated = c.meanEstimateMs * Math.max(1, Math.exp(c.usualLog));
        return c.estimates + c.told == 0 ? priorMs(c) : Math.max(estimated, c.meanToldMs);
    }

    /**
     * Work of a class of which nothing was seen yet, on the safe side: with more, all would be
     * late.
     */
    private static double priorMs(ClassFacts c) {
        return (double) c.spec.latencyObjectiveNs() / MS * c.spec.threads();
    }

    /**
     * Highest worth first; among equals the one with least work, which lets most of them be in
     * time. By the estimate: its correction moves with each answer, and by it later ones would pass
     * earlier ones alike.
     */
    private static int releaseOrder(Query a, Query b) {
        int byWorth = Double.compare(b.worth, a.worth);
        int byWork = Double.compare(a.estimateMs, b.estimateMs);
        return byWorth != 0 ? byWorth : byWork != 0 ? byWork : Long.compare(a.seq, b.seq);
    }

    /**
     * Releases held queries in order; a class that found no room is not tried further in this
     * round.
     */
    private void release() {
        List<ClassFacts> full = new ArrayList<>();
        for (Query q : List.copyOf(held)) {
            if (full.contains(q.cls) || !hasTurn(q) || !withinResendBudget(q)) {
                continue;
            }
            Engine e = choose(q);
            if (e == null && q.scouted.isEmpty()) {
                full.add(q.cls);
            } else if (e != null) {
                q.scouted = List.of();
                held.remove(q);
                send(q, e);
            }
        }
    }

    // ---- The choice of engine
    /** The lighter of two random engines that rules, health and bounds leave open, or null. */
    private Engine choose(Query q) {
        if (!q.scouted.isEmpty()
                && now < q.scoutUntilNs
                && q.scouted.stream().anyMatch(e -> e.probing)) {
            return null;
        }
        List<Engine> open = new ArrayList<>(engines.values());
        open.removeIf(e -> !maySend(q, e));
        List<Engine> healthy = new ArrayList<>(open);
        healthy.removeIf(e -> now < e.avoidUntilNs);
        // Guards against a shared cause: where most engines look bad, none of them is shunned.
        List<Engine> candidates = healthy.size() * 2 >= open.size() ? healthy : open;
        candidates.removeIf(e -> !hasRoom(q, e));
        // Guards a query against the engine that has just failed it: it goes elsewhere if it can.
        Predicate<Engine> failed = e -> q.attempts > 0 && e.name.equals(q.sentTo.engine());
        if (!candidates.stream().allMatch(failed)) {
            candidates.removeIf(failed);
        }
        prefer(q, candidates);
        boolean scouted = !q.scouted.isEmpty();
        if (scouted) {
            candidates.retainAll(q.scouted);
            q.scouted = List.of();
        }
        int n = candidates.size();
        Engine first = n == 0 ? null : candidates.remove(random.nextInt(n));
        Engine second = n < 2 ? first : candidates.get(random.nextInt(n - 1));
        if (n < 2 || !scouted && scout(q, List.of(first, second))) {
            return n == 1 ? first : null;
        }
        if (first.probing != second.probing) {
            return first.probing ? second : first;
        }
        return load(second, q) < load(first, q) ? second : first;
    }

    /**
     * Guards against a blind choice where little of ours runs: asks both candidates whose news is
     * stale.
     */
    private boolean scout(Query q, List<Engine> pair) {
        if (!allowed.healthChecks() || pair.stream().noneMatch(this::stale)) {
            return false;
        }
        if (probes < (brief(q) ? PROBES_SAVED / 2 : pair.size())) {
            return !brief(q); // held: the news that it needs must be earned
        }
        for (Engine e : pair) {
            if (stale(e) && !e.probing) {
                probe(e);
            }
        }
        q.scouted = pair;
        q.scoutUntilNs = now + SCOUT_NS;
        out.add(new SetTimer(SCOUT_LABEL, q.scoutUntilNs));
        return true;
    }

    private boolean stale(Engine e) {
        return now - e.reportNs >= STALE_NS;
    }

    private void probe(Engine e) {
        probes--;
        e.probing = true;
        e.probedNs = now;
        out.add(new CheckHealth(e.name));
    }

    /**
     * Narrows the candidates to those that keep loads and readers apart, where any of them is left.
     */
    private void prefer(Query q, List<Engine> candidates) {
        if (apart && (q.cls.spec.locksTables() || q.cls.spec.waitsForTableLocks())) {
            List<Engine> homes = homesOf.computeIfAbsent(q.tables, this::homes);
            Predicate<Engine> right = e -> homes.contains(e) == q.cls.spec.locksTables();
            if (candidates.stream().anyMatch(right)) {
                candidates.removeIf(right.negate());
            }
        }
    }

    /**
     * Guards readers from standing behind loads: all gateways load a group on one half of the
     * engines.
     */
    private List<Engine> homes(long tables) {
        List<Engine> ready = ready();
        ready.sort(
                Comparator.comparingLong(
                                (Engine e) ->
                                        new SplittableRandom(31L * e.name.hashCode() + tables)
                                                .nextLong())
                        .thenComparing(e -> e.name));
        return ready.subList(0, (int) Math.ceil(LOAD_HOMES * ready.size()));
    }

    /**
     * Estimated work of ours that runs there, with this query, by core; and what fresh reports
     * tell.
     */
    private double load(Engine e, Query q) {
        double own = (e.workMs + q.workMs) / e.cores / OWN_WORK_MS;
        LoadReport r = e.report;
        for (double told :
                List.of(
                        r.cpuUtilization(),
                        r.memoryUtilization(),
                        r.queued() / e.cores,
                        r.diskUtilization(),
                        threadsACore(e))) {
            own += fresh(e) && told > 0 ? told : 0;
        }
        own *=
                !calm && q.cls.spec.engineKinds().isEmpty() && boundKinds.contains(e.entry.kind())
                        ? WANTED
                        : 1;
        return own * Math.exp(Math.max(0, slowness(e)));
    }

    /**
     * The bound on threads binds only under pressure, and never where none of ours runs. Guards
     * against floods: gateways that hold queries see the same dip and would all fill one engine at
     * once. In a crowd the limit shrinks in proportion: what floors and late news let in too much,
     * all must make up for.
     */
    private boolean hasRoom(Query q, Engine e) {
        Bound b = e.bound;
        double limit = Math.max(seed(b) + b.moved, pressed(e) ? 1 : FLOOD * seed(b));
        if (brief(q)) {
            limit += BRIEF_LANE * seed(b);
        }
        limit /= b == pool ? Math.max(1, crowd / SEED_THREADS) : 1;
        boolean line = !stale(e) && e.report.queued() > LINE_A_CORE * e.cores && !brief(q);
        boolean fits =
                b == pool && crowded() ? fits(q, limit) : b.threads == 0 || b.threads < limit;
        boolean room =
                now - e.fullNs >= FULL_PAUSE_NS
                        && !line
                        && (fits
                                || b == pool
                                        && (brief(q) && allowed.priorities() && !crowded()
                                                || calm && fresh(e) && !pressed(e)));
        b.periodHeld |= !room;
        return room;
    }

    /**
     * Guards a crowd against one query of each gateway: a query must fit with its own threads. One
     * that never could gets in by chance, so seldom that it fits on average; brief ones fit a lane
     * of their own threads.
     */
    private boolean fits(Query q, double limit) {
        int threads = q.cls.spec.threads();
        if (pool.threads + threads <= limit
                || pool.threads == 0
                        && luck < limit / threads * TICK_NS / Math.max(TICK_NS, q.usualNs())) {
            return true;
        }
        int lane =
                !brief(q)
                        ? 0
                        : queries.values().stream()
                                .filter(o -> o.out != null && brief(o))
                                .mapToInt(o -> o.cls.spec.threads())
                                .sum();
        return brief(q) && lane + threads <= Math.max(1, BRIEF_LANE * seed(pool));
    }

    private double seed(Bound b) {
        double equal = 1.0 / settings.routerCount();
        double part =
                crowd > 0 ? (share + equal) / 2 : Math.max(share, equal); // adds up to 1 over all
        return Math.max(1, SEED_THREADS * b.cores * part);
    }

    /**
     * Guards against many gateways whose floors of one thread an engine add up: then one bound over
     * all.
     */
    private void allotBounds() {
        List<Engine> ready = ready();
        pool.cores = ready.stream().mapToInt(e -> e.cores).sum();
        boolean pooled = SEED_THREADS * pool.cores < (double) settings.routerCount() * ready.size();
        pool.threads = 0;
        for (Engine e : engines.values()) {
            pool.threads += e.threads;
            if (pooled != (e.bound == pool)) {
                e.bound = pooled ? pool : new Bound();
            }
            if (!pooled) {
                e.bound.cores = e.cores;
                e.bound.threads = e.threads;
            }
        }
    }

    /**
     * Guards a busy gateway against an equal share: its threads' part in what reports tell is its
     * share.
     */
    private void learnShare() {
        double own = 0;
        double busy = 0;
        for (Engine e : engines.values()) {
            runTicks += e.running.size();
            e.running.forEach(q -> runThreadTicks += q.cls.spec.threads());
            double told =
                    e.report.inFlight() > 0
                            ? threadsACore(e)
                            : e.report.cpuUtilization() * SEED_THREADS;
            if (e.entry != null && fresh(e) && told > 0) {
                own += e.threads;
                busy += told * e.cores;
            }
        }
        share += SHARE_WEIGHT * ((busy > 0 ? Math.min(1, own / busy) : 0) - share);
        crowd =
                engines.values().stream()
                        .filter(e -> fresh(e) && e.report.inFlight() >= 0)
                        .mapToDouble(this::threadsACore)
                        .average()
                        .orElse(0);
        long known = engines.values().stream().filter(this::fresh).count();
        calm =
                engines.values().stream().filter(e -> fresh(e) && pressed(e)).count()
                        <= CALM * known;
    }

    /**
     * Guards brief queries against waiting for room behind long ones: the paper's case for more
     * room.
     */
    private boolean brief(Query q) {
        double longest =
                classes.values().stream()
                        .mapToDouble(DefaultWorkloadManager::usualMs)
                        .max()
                        .orElse(0);
        return (q.estimated ? q.workMs : usualMs(q.cls)) < BRIEF_SHARE * longest;
    }

    /**
     * Pressure: response times far above the usual, a report that says busy, or a refusal just now.
     */
    private boolean pressed(Engine e) {
        boolean busy =
                fresh(e)
                        && (e.report.queued() >= 1
                                || e.report.cpuUtilization() >= BUSY
                                || e.report.memoryUtilization() >= BUSY
                                || e.report.diskUtilization() >= BUSY
                                || threadsACore(e) >= SEED_THREADS);
        return busy || now - e.fullNs < FRESH_NS || slowness(e) > PRESSED_LOG;
    }

    /** True where reports tell that all gateways together run more threads than the level. */
    private boolean crowded() {
        return crowd > SEED_THREADS;
    }

    /**
     * Threads of the queries in hand, taken to be like our running ones: those with bad plans never
     * end.
     */
    private double threadsACore(Engine e) {
        return e.report.inFlight() * (runTicks > 0 ? runThreadTicks / runTicks : 1) / e.cores;
    }

    private boolean fresh(Engine e) {
        return now - e.reportNs < FRESH_NS;
    }

    /**
     * Log of how much slower than usual the engine is, by its answers, which fade, and what is
     * overdue there. Guards against jammed, slowed, ageing and silent engines; one odd query among
     * many moves it little.
     */
    private double slowness(Engine e) {
        double weight = e.slowWeight * Math.exp(-(now - e.slowNs) / (double) SLOW_FADE_NS);
        double sum = weight * e.slowLog;
        for (Query q : e.running) {
            double late = Math.log((now - q.sentNs + 1.0) / q.usualNs()) * evenness(q.cls);
            if (late > PRESSED_LOG) {
                sum += late;
                weight++;
            }
        }
        return sum / (weight + 1);
    }

    /**
     * A time far over the usual tells less where times scatter, unless slow engines may be the
     * cause.
     */
    private static double evenness(ClassFacts c) {
        boolean untold = c.estimates > 0 && c.told == 0;
        return untold ? 1 : Math.min(1, SPREAD_LOG / Math.max(1e-3, c.spreadLog));
    }

    // ---- The one send path: the rules are kept here
    private boolean maySend(Query q, Engine e) {
        return ready(e)
                && !q.over
                && q.out == null
                && q.attempts < allowed.maxAttempts()
                && (q.cls.spec.engineKinds().isEmpty()
                        || q.cls.spec.engineKinds().contains(e.entry.kind()))
                && (q.cls.spec.zones().isEmpty() || q.cls.spec.zones().contains(e.entry.zone()))
                && hasTurn(q)
                && effectAllows(q, e)
                && withinColdBudget(q, e)
                && withinResendBudget(q);
    }

    private static boolean ready(Engine e) {
        return e.entry != null && e.entry.state() == EndpointState.READY;
    }

    private List<Engine> ready() {
        return new ArrayList<>(
                engines.values().stream().filter(DefaultWorkloadManager::ready).toList());
    }

    private boolean hasTurn(Query q) {
        return q.line == null
                || q.line.waiting.peek() == q && (q.attempts > 0 || now >= q.line.restUntilNs);
    }

    /**
     * An unsafe query that may have run stays; a deduplicated one goes where repeats are dropped.
     */
    private boolean effectAllows(Query q, Engine e) {
        if (q.mayHaveRunOn == null || q.cls.spec.retrySafety() == RetrySafety.IDEMPOTENT) {
            return true;
        }
        boolean group =
                switch (q.cls.spec.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> e.entry.zone().equals(q.mayHaveRunOn.zone());
                    case CELL -> e.entry.cell() == q.mayHaveRunOn.cell();
                };
        return q.cls.spec.retrySafety() == RetrySafety.DEDUPLICATED
                && group
                && now - q.mayHaveRunNs < q.cls.spec.deduplicationWindowNs() - TICK_NS;
    }

    /**
     * Guards a cold engine: what all gateways send it in a window stays under what it bears. Where
     * our share holds no query, one of a class of which it bears many gets in by chance, and a
     * chance not taken lapses.
     */
    private boolean withinColdBudget(Query q, Engine e) {
        if (!cold(e)) {
            return true;
        }
        double window = limits.slowStartWindowNs();
        double gap = coldGapNs(q, e);
        if (gap <= window) {
            e.coldNextNs = Double.isNaN(e.coldNextNs) ? now - COLD_BURST * window : e.coldNextNs;
            return now >= e.coldNextNs + gap;
        }
        if (gap * COLD_PARTS >= window * settings.routerCount()) {
            return false;
        }
        if (!(now <= e.coldNextNs + window && e.coldNextNs <= now + gap)) {
            e.coldNextNs = now + random.nextDouble() * gap;
        }
        return now >= e.coldNextNs;
    }

    /**
     * Time in which our share of what the engine bears while cold adds up to one query of the
     * class.
     */
    private double coldGapNs(Query q, Engine e) {
        return heavyMs(q.cls)
                * MS
                * settings.routerCount()
                / (COLD_MARGIN
                        * limits.slowStartOverloadFactor()
                        * limits.slowStartFraction()
                        * e.cores
                        * CAPACITY);
    }

    /** Usual work, on the safe side while few queries were seen. */
    private static double heavyMs(ClassFacts c) {
        int seen = c.estimates + c.told;
        return (FEW * priorMs(c) + seen * usualMs(c)) / (FEW + seen);
    }

    private boolean cold(Engine e) {
        return e.entry.startedNs() > 0
                && limits.slowStartOverloadFactor() > 0
                && now < e.entry.startedNs() + limits.slowStartNs();
    }

    private boolean withinResendBudget(Query q) {
        forgetBefore(now - limits.retryBudgetWindowNs());
        return limits.retryBudgetWindowNs() <= 0
                || q.attempts == 0
                || resent.size() + 1
                        <= limits.freeRetries() + limits.retriesPerQuery() * taken.size();
    }

    /**
     * On the safe side: what is exactly as old as the span counts where it costs and not where it
     * earns.
     */
    private void forgetBefore(long from) {
        while (!taken.isEmpty() && taken.peek() <= from) {
            taken.poll();
        }
        while (!resent.isEmpty() && resent.peek() < from) {
            resent.poll();
        }
    }

    private void send(Query q, Engine e) {
        if (q.attempts > 0) {
            resent.add(now);
        }
        if (cold(e)) {
            double gap = coldGapNs(q, e);
            double saved =
                    gap <= limits.slowStartWindowNs() ? COLD_BURST * limits.slowStartWindowNs() : 0;
            e.coldNextNs = Math.max(e.coldNextNs, now - saved) + gap;
        }
        if (e.bound.threads == 0 && e.bound.completions == 0) {
            e.bound.periodStartNs = now;
        }
        q.grantMb = allowed.memoryGrants() && q.memoryMb > 0 ? grant(q, e) : 0;
        if (allowed.memoryGrants() || allowed.priorities()) {
            out.add(new SetAttemptResources(q.id, priority(q), q.grantMb));
        }
        q.out = e;
        q.sentTo = e.entry;
        q.sentNs = now;
        q.workingFromNs = now;
        q.attempts++;
        q.cancelled = false;
        e.running.add(q);
        count(e, q, 1);
        out.add(new StartAttempt(q.id, e.name, Math.max(MS, q.deadlineNs - now - CUT_NS)));
    }

    private void count(Engine e, Query q, int sign) {
        e.threads += sign * q.cls.spec.threads();
        e.bound.threads += sign * q.cls.spec.threads();
        e.workMs += sign * q.workMs;
    }

    private long grant(Query q, Engine e) {
        double most = e.memoryMb > 0 ? allowed.maxGrantFraction() * e.memoryMb : Double.MAX_VALUE;
        double need = q.needMb > 0 ? q.needMb : q.memoryMb * q.cls.memoryBias;
        return Math.max(1, Math.round(Math.min(most, need * GRANT_MARGIN)));
    }

    /**
     * Brief queries go first where cores are short: they delay long ones little. What is late goes
     * last.
     */
    private int priority(Query q) {
        return !allowed.priorities() ? 1 : now >= q.aimNs() ? 0 : brief(q) ? 3 : 1;
    }

    // ---- A running query is watched
    private void progress(AttemptProgress p) {
        Query q = queries.get(p.id());
        Engine e = engines.get(p.engine());
        if (q == null || q.out == null || q.out != e || p.attempt() != q.attempts - 1) {
            return;
        }
        e.heardNs = now;
        if (p.kind() == ProgressKind.WAITING) {
            q.workingFromNs = now;
        } else if (p.kind() == ProgressKind.SPILLED_MB) {
            regrant(q, q.grantMb + p.amount());
        } else if (p.kind() == ProgressKind.FRACTION_DONE && p.amount() > 0) {
            restartBadPlan(q, p.amount());
        }
    }

    /**
     * Guards against estimates of memory that lie: one that has hardly begun starts again with its
     * need.
     */
    private void regrant(Query q, double needMb) {
        if (q.needMb == 0 && q.grantMb > 0) {
            learnGrant(q, needMb);
        }
        q.needMb = Math.max(q.needMb, needMb);
        if (movable(q)
                && grant(q, q.out) > SHORT_GRANT * q.grantMb
                && now - q.workingFromNs < EARLY * q.usualNs()) {
            cancel(q);
        }
    }

    /**
     * Guards against bad plans: what still lies ahead is far more than a fresh start would take.
     */
    private void restartBadPlan(Query q, double share) {
        long ran = now - q.workingFromNs;
        double ahead = ran * (1 - share) / share;
        double fresh = q.usualNs() * Math.exp(Math.max(0, Math.max(slowLog, slowness(q.out))));
        if (ahead + ran > BAD_PLAN * fresh && ahead > 2 * fresh && now + fresh < q.deadlineNs) {
            restart(q);
        }
    }

    /**
     * Where no notes come time must tell: far over the usual at the day's spread, and late already.
     */
    private void restartLongRunner(Query q) {
        double far = (Math.log(BAD_PLAN) + Math.max(0, slowLog - PRESSED_LOG)) / evenness(q.cls);
        if (allowed.progressIntervalNs() == 0
                && !brief(q)
                && now > q.aimNs()
                && now - q.sentNs > q.usualNs() * Math.exp(far)) {
            restart(q);
        }
    }

    private void restart(Query q) {
        if (movable(q) && q.restarts < BAD_PLAN_RESTARTS) {
            q.restarts++;
            cancel(q);
        }
    }

    private void cancel(Query q) {
        q.cancelled = true;
        out.add(new CancelAttempt(q.id, q.attempts - 1));
    }

    // ---- An attempt ends
    private void ended(AttemptEnded e) {
        Query q = queries.get(e.id());
        Engine engine = engines.get(e.engine());
        if (engine != null) {
            if (!e.loadReport().equals(LoadReport.NONE)) {
                engine.report = e.loadReport();
                engine.reportNs = now;
            }
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
            q.mayHaveRunOn = q.sentTo;
            q.mayHaveRunNs = q.sentNs;
        }
        boolean mayStillRun = MAY_STILL_RUN.contains(e.outcome());
        if (q.line != null && mayStillRun) {
            q.line.restUntilNs = now + limits.keyQuietPeriodNs();
        }
        // Guards against an engine that looks idle while it still works on what was given up there.
        boolean haunts = mayStillRun && !allowed.cancellation();
        ran.ghosts.add(new Ghost(haunts ? now + (long) (GHOST_SHARE * (now - q.sentNs)) : now, q));
        layGhosts(ran);
        q.over |= e.clientAnswered();
        if (q.over) {
            forget(q);
        } else {
            again(q);
        }
        closePeriodIfDue(ran.bound);
        release();
    }

    private void layGhosts(Engine e) {
        e.ghosts.stream().filter(g -> now >= g.untilNs()).forEach(g -> count(e, g.of(), -1));
        e.ghosts.removeIf(g -> now >= g.untilNs());
    }

    /** Another attempt where the rules allow one and time is left, else the final answer. */
    private void again(Query q) {
        boolean repeatable =
                q.mayHaveRunOn == null || q.cls.spec.retrySafety() != RetrySafety.AT_MOST_ONCE;
        if (repeatable && q.attempts < allowed.maxAttempts() && now + ANSWER_NS < q.deadlineNs) {
            held.add(q);
        } else {
            answer(q);
        }
    }

    /**
     * Guards against answers after the client's time, also for a query whose time is short on
     * arrival.
     */
    private void answerIfDue(Query q) {
        if (held.contains(q) && now + ANSWER_NS >= q.deadlineNs) {
            answer(q);
        }
    }

    /**
     * The one finish path: refuses where that is harmless, else fails; at once, with retry advice.
     */
    private void answer(Query q) {
        q.over = true;
        boolean harmless =
                q.mayHaveRunOn == null
                        || q.cls.spec.retrySafety() == RetrySafety.IDEMPOTENT
                        || q.cls.spec.retrySafety() == RetrySafety.DEDUPLICATED
                                && q.cls.spec.deduplicationScope() == DeduplicationScope.ALL;
        out.add(harmless ? new Reject(q.id, allowed.maxRetryAfterNs()) : new Fail(q.id));
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

    private void clientGone(ClientDisconnected g) {
        Query q = queries.get(g.id());
        if (q != null) {
            if (q.out != null && movable(q)) {
                cancel(q); // the work would serve nobody
            }
            q.over = true;
            forget(q);
            release();
        }
    }

    // ---- Feedback: what answers teach, and the steps of the bound
    private void learn(Query q, Engine e, AttemptEnded end) {
        double stretch =
                Math.log(
                        Math.max(
                                1e-3,
                                end.durationNs()
                                        / (double) MS
                                        * q.cls.spec.threads()
                                        / Math.max(1e-3, q.estimateMs)));
        if (!pressed(e)) { // a jam must not become the usual, nor the lucky ones that pass it
            double step = q.estimated ? USUAL_STEP : Math.max(USUAL_STEP, 1.0 / ++q.cls.lessons);
            double upper = q.cls.usualLog + q.cls.spreadLog;
            q.cls.usualLog +=
                    step * (stretch < q.cls.usualLog ? USUAL_QUANTILE - 1 : USUAL_QUANTILE);
            upper += step * (stretch < upper ? -USUAL_QUANTILE : 1 - USUAL_QUANTILE);
            q.cls.spreadLog = Math.max(0, upper - q.cls.usualLog);
        }
        if (end.workMs() > 0) {
            double weight = Math.max(CLASS_WEIGHT, 1.0 / ++q.cls.told);
            q.cls.meanToldMs += weight * (end.workMs() - q.cls.meanToldMs);
        }
        double excess = (stretch - q.cls.usualLog) * evenness(q.cls);
        double old = e.slowWeight * Math.exp(-(now - e.slowNs) / (double) SLOW_FADE_NS);
        e.slowWeight = Math.min(SLOW_ANSWERS, old + 1);
        e.slowLog += (excess - e.slowLog) / e.slowWeight;
        e.slowNs = now;
        slowLog += MEAN_WEIGHT * (excess - slowLog);
        e.bound.completions++;
        e.bound.responseSumNs += end.durationNs();
        if (q.grantMb > 0 && q.needMb == 0) {
            learnGrant(q, end.memoryMb() > 0 ? end.memoryMb() : 0);
        }
    }

    private void learnGrant(Query q, double needMb) {
        double off = Math.log(Math.max(1e-3, needMb / q.memoryMb / q.cls.memoryBias));
        double by = GRANT_LEARN * (off > 0 ? GRANT_QUANTILE : GRANT_QUANTILE - 1);
        q.cls.memoryBias *= Math.exp(q.cls.memoryLessons++ == 0 && off > 0 ? off : by);
    }

    private void closePeriodIfDue(Bound b) {
        long length = now - b.periodStartNs;
        if (b.completions < PERIOD_COMPLETIONS
                && !(b.periodHeld && length >= PERIOD_NS && b.completions >= LEAST_COMPLETIONS)) {
            return;
        }
        double throughput = b.completions / (double) Math.max(1, length);
        double response = b.responseSumNs / b.completions;
        step(b, throughput, response);
        b.startPeriod(throughput, response, now);
    }

    /**
     * While queries are held: a step up stays only if throughput gained; else the bound drifts
     * down.
     */
    private void step(Bound b, double throughput, double response) {
        double size = Math.max(1, STEP_SHARE * seed(b));
        boolean outwait = held.stream().anyMatch(q -> now >= q.aimNs());
        boolean slower = b.lastResponseNs > 0 && response > b.lastResponseNs * (1 + THRESHOLD);
        boolean mayFall = !outwait && !slower && (b.moved >= size || b.fullNs >= b.periodStartNs);
        if (b.periodHeld) {
            boolean gained = throughput > b.lastThroughput * (1 + THRESHOLD);
            move(
                    b,
                    !crowded() && b.lastStep <= 0 || gained
                            ? size
                            : mayFall || crowded() ? -size : 0);
        } else {
            boolean lost = throughput < b.lastThroughput * (1 - THRESHOLD);
            move(b, lost && b.lastStep < 0 ? size : mayFall ? -size : 0);
        }
    }

    private void move(Bound b, double by) {
        b.moved = Math.max(1 - seed(b), Math.min((FLOOD - 1) * seed(b), b.moved + by));
        b.lastStep = by;
    }

    // ---- What is believed of the engines
    private void judge(Engine e, Outcome outcome) {
        boolean sign = Set.of(Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED).contains(outcome);
        e.heardNs = sign ? now : e.heardNs;
        if (outcome == Outcome.SERVED || outcome == Outcome.ERROR) {
            // Guards against an engine whose answers are errors: they are so fast that it looks
            // lightest.
            e.errors += ERROR_WEIGHT * ((outcome == Outcome.ERROR ? 1 : 0) - e.errors);
            if (e.errors < ERRORS) {
                e.avoidNs = 0;
            } else if (outcome == Outcome.ERROR && now >= e.avoidUntilNs) {
                avoid(e);
            }
        } else if (outcome == Outcome.REJECTED) {
            e.fullNs = now;
            e.bound.fullNs = now;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            avoid(e);
        }
    }

    private void probed(HealthCheckCompleted p) {
        Engine e = engines.get(p.engine());
        if (e != null) {
            if (p.outcome() == Outcome.SERVED) {
                e.report = p.loadReport();
                e.reportNs = now;
            }
            e.probing = false;
            release();
        }
    }

    /** Guards against engines that are down, cut off or silent, whatever the list says of them. */
    private void avoid(Engine e) {
        e.avoidNs = Math.min(AVOID_MOST_NS, Math.max(AVOID_NS, 2 * e.avoidNs));
        e.avoidUntilNs = now + e.avoidNs;
    }

    /** An engine that takes work and gives no sign of it, though its probes are answered. */
    private boolean silent(Engine e) {
        for (Query q : e.running) {
            double patience =
                    allowed.progressIntervalNs() > 0
                            ? SILENT_NOTES * allowed.progressIntervalNs()
                            : q.usualNs()
                                    * Math.exp(
                                            (SILENT_LOG + Math.max(0, slowLog)) / evenness(q.cls));
            if (now - Math.max(q.sentNs, e.heardNs) > Math.max(SILENT_NS, patience)) {
                return true;
            }
        }
        return false;
    }

    private void listNews(EndpointsChanged news) {
        if (news.kind() == EndpointListKind.UNAVAILABLE) {
            out.add(new WatchEndpoints());
            return;
        }
        Set<String> named = new HashSet<>();
        for (Endpoint entry : news.endpoints()) {
            named.add(entry.engine());
            listed(entry);
        }
        for (Engine e : engines.values()) {
            e.entry =
                    news.kind() == EndpointListKind.DELTA || named.contains(e.name)
                            ? e.entry
                            : null;
        }
        homesOf.clear();
        allotBounds();
        release();
    }

    private void listed(Endpoint entry) {
        Engine e = engines.computeIfAbsent(entry.engine(), Engine::new);
        boolean restarted = e.entry == null || entry.startedNs() > e.entry.startedNs();
        e.entry = entry.state() == EndpointState.REMOVED ? null : entry;
        for (EngineKind k : settings.kinds()) {
            if (k.name().equals(entry.kind())) {
                e.cores = k.cores();
                e.memoryMb = k.memoryMb();
            }
        }
        if (restarted) {
            e.bound.moved = e.bound == pool ? pool.moved : 0;
            e.slowWeight = 0;
            e.coldNextNs = Double.NaN;
            e.avoidUntilNs = State.NEVER;
            e.avoidNs = 0;
            e.errors = 0;
        }
    }

    // ---- House-keeping
    private void tick() {
        out.add(new SetTimer(TICK_LABEL, now + TICK_NS));
        forgetBefore(now - limits.retryBudgetWindowNs());
        learnShare();
        luck = random.nextDouble();
        probes = Math.min(PROBES_SAVED, probes + PROBES_A_TICK);
        boolean contended =
                held.stream()
                        .anyMatch(
                                q -> // some that can still be in time wait for room
                                now - q.takenNs > TICK_NS
                                                && now + q.usualNs() < q.aimNs()
                                                && hasTurn(q));
        for (Query q : List.copyOf(held)) {
            answerIfDue(q);
            boolean late = now + q.usualNs() >= q.aimNs();
            if (held.contains(q) && late && (contended || q.cls.spec.lateWeightFraction() == 0)) {
                answer(q); // given up for those that can still be in time
            } else if (held.contains(q) && late && q.worth == q.fullWorth) {
                held.remove(q);
                q.worth = q.fullWorth * q.cls.spec.lateWeightFraction();
                held.add(q);
            }
        }
        keys.values().removeIf(k -> k.waiting.isEmpty() && now >= k.restUntilNs);
        engines.values()
                .removeIf(e -> e.entry == null && e.running.isEmpty() && e.ghosts.isEmpty());
        for (Engine e : engines.values()) {
            if (allowed.healthChecks()
                    && ready(e)
                    && !e.probing
                    && probes >= PROBES_SAVED / 2
                    && now - e.probedNs >= STALE_NS) {
                probe(e);
            }
            layGhosts(e);
            closePeriodIfDue(e.bound);
            e.running.forEach(this::restartLongRunner);
            if (now >= e.avoidUntilNs && silent(e)) {
                avoid(e);
                out.add(
                        new Log(
                                "avoiding "
                                        + e.name
                                        + ": it takes queries and gives no sign of them"));
                e.running.stream()
                        .filter(this::movable)
                        .forEach(this::cancel); // freed, they go elsewhere
            }
        }
        release();
    }

    private boolean movable(Query q) {
        return allowed.cancellation()
                && q.cls.spec.retrySafety() == RetrySafety.IDEMPOTENT
                && !q.over
                && !q.cancelled
                && q.attempts < allowed.maxAttempts();
    }
}
