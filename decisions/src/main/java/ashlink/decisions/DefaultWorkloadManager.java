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
                .filter(tenant -> tenant.quotaPerS() > 0)
                .forEach(tenant -> tenants.put(tenant.name(), new TenantFacts(tenant.quotaPerS())));
        for (QueryClass queryClass : settings.classes()) {
            classes.put(queryClass.name(), new ClassFacts(queryClass));
            boundKinds.addAll(queryClass.engineKinds());
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
        if (event instanceof QuerySubmitted querySubmitted) {
            take(querySubmitted);
        } else if (event instanceof AttemptEnded attemptEnded) {
            ended(attemptEnded);
        } else if (event instanceof AttemptProgress attemptProgress) {
            progress(attemptProgress);
        } else if (event instanceof HealthCheckCompleted completed) {
            probed(completed);
        } else if (event instanceof ClientDisconnected clientDisconnected) {
            clientGone(clientDisconnected);
        } else if (event instanceof EndpointsChanged news) {
            listNews(news);
        } else if (event instanceof TimerFired timerFired && timerFired.label() == TICK_LABEL) {
            tick();
        } else if (event instanceof TimerFired) {
            release();
        }
        return out;
    }

    // ---- A query is taken and held
    private void take(QuerySubmitted querySubmitted) {
        ClassFacts cls = classes.get(querySubmitted.queryClass());
        if (cls == null || queries.containsKey(querySubmitted.id())) {
            out.add(
                    new Reject(
                            querySubmitted.id(),
                            0)); // a class that the settings don't know can go nowhere
            return;
        }
        taken.add(now);
        double estimate =
                querySubmitted.estimatedWorkNs() > 0
                        ? querySubmitted.estimatedWorkNs() / (double) MS
                        : priorMs(cls);
        if (querySubmitted.estimatedWorkNs() > 0) {
            double weight = Math.max(CLASS_WEIGHT, 1.0 / ++cls.estimates);
            cls.meanEstimateMs += weight * (estimate - cls.meanEstimateMs);
        }
        probes = Math.min(PROBES_SAVED, probes + PROBES_PER_QUERY);
        boolean ordered = cls.spec.ordered() && querySubmitted.key() != null;
        KeyLine line =
                ordered ? keys.computeIfAbsent(querySubmitted.key(), text -> new KeyLine()) : null;
        double part =
                tenants.containsKey(querySubmitted.tenant())
                        ? worthOf(tenants.get(querySubmitted.tenant()))
                        : 1;
        double worth = cls.spec.priorityWeight() * part;
        double work = estimate * Math.exp(cls.usualLog);
        Query query = new Query(querySubmitted, cls, line, sequence++, estimate, work, worth, now);
        queries.put(query.id, query);
        if (line != null) {
            line.waiting.add(query);
        }
        held.add(query);
        release();
        answerIfDue(query);
    }

    /**
     * Guards tenants within their share against one beyond it, by our part of the quota: it leaves
     * later.
     */
    private double worthOf(TenantFacts tenantFacts) {
        tenantFacts.count =
                1
                        + tenantFacts.count
                                * Math.exp(-(now - tenantFacts.lastNs) / (double) TENANT_FADE_NS);
        tenantFacts.lastNs = now;
        double quota =
                tenantFacts.quotaPerS
                        * (share + 1.0 / settings.routerCount())
                        / 2
                        * TENANT_FADE_NS
                        / (1_000 * MS);
        double within = Math.min(1, quota / tenantFacts.count);
        return within + (1 - within) * settings.overQuotaWeight();
    }

    /**
     * Mean work of a class, on the safe side: estimated, or told by answers where none are given.
     */
    private static double usualMs(ClassFacts classFacts) {
        double estimated = classFacts.meanEstimateMs * Math.max(1, Math.exp(classFacts.usualLog));
        return classFacts.estimates + classFacts.told == 0
                ? priorMs(classFacts)
                : Math.max(estimated, classFacts.meanToldMs);
    }

    /**
     * Work of a class of which nothing was seen yet, on the safe side: with more, all would be
     * late.
     */
    private static double priorMs(ClassFacts classFacts) {
        return (double) classFacts.spec.latencyObjectiveNs() / MS * classFacts.spec.threads();
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
        for (Query query : List.copyOf(held)) {
            if (full.contains(query.cls) || !hasTurn(query) || !withinResendBudget(query)) {
                continue;
            }
            Engine engine = choose(query);
            if (engine == null && query.scouted.isEmpty()) {
                full.add(query.cls);
            } else if (engine != null) {
                query.scouted = List.of();
                held.remove(query);
                send(query, engine);
            }
        }
    }

    // ---- The choice of engine
    /** The lighter of two random engines that rules, health and bounds leave open, or null. */
    private Engine choose(Query query) {
        if (!query.scouted.isEmpty()
                && now < query.scoutUntilNs
                && query.scouted.stream().anyMatch(engine -> engine.probing)) {
            return null;
        }
        List<Engine> open = new ArrayList<>(engines.values());
        open.removeIf(engine -> !maySend(query, engine));
        List<Engine> healthy = new ArrayList<>(open);
        healthy.removeIf(engine -> now < engine.avoidUntilNs);
        // Guards against a shared cause: where most engines look bad, none of them is shunned.
        List<Engine> candidates = healthy.size() * 2 >= open.size() ? healthy : open;
        candidates.removeIf(engine -> !hasRoom(query, engine));
        // Guards a query against the engine that has just failed it: it goes elsewhere if it can.
        Predicate<Engine> failed =
                engine -> query.attempts > 0 && engine.name.equals(query.sentTo.engine());
        if (!candidates.stream().allMatch(failed)) {
            candidates.removeIf(failed);
        }
        prefer(query, candidates);
        boolean scouted = !query.scouted.isEmpty();
        if (scouted) {
            candidates.retainAll(query.scouted);
            query.scouted = List.of();
        }
        int n = candidates.size();
        Engine first = n == 0 ? null : candidates.remove(random.nextInt(n));
        Engine second = n < 2 ? first : candidates.get(random.nextInt(n - 1));
        if (n < 2 || !scouted && scout(query, List.of(first, second))) {
            return n == 1 ? first : null;
        }
        if (first.probing != second.probing) {
            return first.probing ? second : first;
        }
        return load(second, query) < load(first, query) ? second : first;
    }

    /**
     * Guards against a blind choice where little of ours runs: asks both candidates whose news is
     * stale.
     */
    private boolean scout(Query query, List<Engine> pair) {
        if (!allowed.healthChecks() || pair.stream().noneMatch(this::stale)) {
            return false;
        }
        if (probes < (brief(query) ? PROBES_SAVED / 2 : pair.size())) {
            return !brief(query); // held: the news that it needs must be earned
        }
        for (Engine engine : pair) {
            if (stale(engine) && !engine.probing) {
                probe(engine);
            }
        }
        query.scouted = pair;
        query.scoutUntilNs = now + SCOUT_NS;
        out.add(new SetTimer(SCOUT_LABEL, query.scoutUntilNs));
        return true;
    }

    private boolean stale(Engine engine) {
        return now - engine.reportNs >= STALE_NS;
    }

    private void probe(Engine engine) {
        probes--;
        engine.probing = true;
        engine.probedNs = now;
        out.add(new CheckHealth(engine.name));
    }

    /**
     * Narrows the candidates to those that keep loads and readers apart, where any of them is left.
     */
    private void prefer(Query query, List<Engine> candidates) {
        if (apart && (query.cls.spec.locksTables() || query.cls.spec.waitsForTableLocks())) {
            List<Engine> homes = homesOf.computeIfAbsent(query.tables, this::homes);
            Predicate<Engine> right =
                    engine -> homes.contains(engine) == query.cls.spec.locksTables();
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
                                (Engine engine) ->
                                        new SplittableRandom(31L * engine.name.hashCode() + tables)
                                                .nextLong())
                        .thenComparing(engine -> engine.name));
        return ready.subList(0, (int) Math.ceil(LOAD_HOMES * ready.size()));
    }

    /**
     * Estimated work of ours that runs there, with this query, by core; and what fresh reports
     * tell.
     */
    private double load(Engine engine, Query query) {
        double own = (engine.workMs + query.workMs) / engine.cores / OWN_WORK_MS;
        LoadReport loadReport = engine.report;
        for (double told :
                List.of(
                        loadReport.cpuUtilization(),
                        loadReport.memoryUtilization(),
                        loadReport.queued() / engine.cores,
                        loadReport.diskUtilization(),
                        threadsACore(engine))) {
            own += fresh(engine) && told > 0 ? told : 0;
        }
        own *=
                !calm
                                && query.cls.spec.engineKinds().isEmpty()
                                && boundKinds.contains(engine.entry.kind())
                        ? WANTED
                        : 1;
        return own * Math.exp(Math.max(0, slowness(engine)));
    }

    /**
     * The bound on threads binds only under pressure, and never where none of ours runs. Guards
     * against floods: gateways that hold queries see the same dip and would all fill one engine at
     * once. In a crowd the limit shrinks in proportion: what floors and late news let in too much,
     * all must make up for.
     */
    private boolean hasRoom(Query query, Engine engine) {
        Bound bound = engine.bound;
        double limit =
                Math.max(seed(bound) + bound.moved, pressed(engine) ? 1 : FLOOD * seed(bound));
        if (brief(query)) {
            limit += BRIEF_LANE * seed(bound);
        }
        limit /= bound == pool ? Math.max(1, crowd / SEED_THREADS) : 1;
        boolean line =
                !stale(engine)
                        && engine.report.queued() > LINE_A_CORE * engine.cores
                        && !brief(query);
        boolean fits =
                bound == pool && crowded()
                        ? fits(query, limit)
                        : bound.threads == 0 || bound.threads < limit;
        boolean room =
                now - engine.fullNs >= FULL_PAUSE_NS
                        && !line
                        && (fits
                                || bound == pool
                                        && (brief(query) && allowed.priorities() && !crowded()
                                                || calm && fresh(engine) && !pressed(engine)));
        bound.periodHeld |= !room;
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

    private double seed(Bound bound) {
        double equal = 1.0 / settings.routerCount();
        double part =
                crowd > 0 ? (share + equal) / 2 : Math.max(share, equal); // adds up to 1 over all
        return Math.max(1, SEED_THREADS * bound.cores * part);
    }

    /**
     * Guards against many gateways whose floors of one thread an engine add up: then one bound over
     * all.
     */
    private void allotBounds() {
        List<Engine> ready = ready();
        pool.cores = ready.stream().mapToInt(engine -> engine.cores).sum();
        boolean pooled = SEED_THREADS * pool.cores < (double) settings.routerCount() * ready.size();
        pool.threads = 0;
        for (Engine engine : engines.values()) {
            pool.threads += engine.threads;
            if (pooled != (engine.bound == pool)) {
                engine.bound = pooled ? pool : new Bound();
            }
            if (!pooled) {
                engine.bound.cores = engine.cores;
                engine.bound.threads = engine.threads;
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
        for (Engine engine : engines.values()) {
            runTicks += engine.running.size();
            engine.running.forEach(query -> runThreadTicks += query.cls.spec.threads());
            double told =
                    engine.report.inFlight() > 0
                            ? threadsACore(engine)
                            : engine.report.cpuUtilization() * SEED_THREADS;
            if (engine.entry != null && fresh(engine) && told > 0) {
                own += engine.threads;
                busy += told * engine.cores;
            }
        }
        share += SHARE_WEIGHT * ((busy > 0 ? Math.min(1, own / busy) : 0) - share);
        crowd =
                engines.values().stream()
                        .filter(engine -> fresh(engine) && engine.report.inFlight() >= 0)
                        .mapToDouble(this::threadsACore)
                        .average()
                        .orElse(0);
        long known = engines.values().stream().filter(this::fresh).count();
        calm =
                engines.values().stream().filter(engine -> fresh(engine) && pressed(engine)).count()
                        <= CALM * known;
    }

    /**
     * Guards brief queries against waiting for room behind long ones: the paper's case for more
     * room.
     */
    private boolean brief(Query query) {
        double longest =
                classes.values().stream()
                        .mapToDouble(DefaultWorkloadManager::usualMs)
                        .max()
                        .orElse(0);
        return (query.estimated ? query.workMs : usualMs(query.cls)) < BRIEF_SHARE * longest;
    }

    /**
     * Pressure: response times far above the usual, a report that says busy, or a refusal just now.
     */
    private boolean pressed(Engine engine) {
        boolean busy =
                fresh(engine)
                        && (engine.report.queued() >= 1
                                || engine.report.cpuUtilization() >= BUSY
                                || engine.report.memoryUtilization() >= BUSY
                                || engine.report.diskUtilization() >= BUSY
                                || threadsACore(engine) >= SEED_THREADS);
        return busy || now - engine.fullNs < FRESH_NS || slowness(engine) > PRESSED_LOG;
    }

    /** True where reports tell that all gateways together run more threads than the level. */
    private boolean crowded() {
        return crowd > SEED_THREADS;
    }

    /**
     * Threads of the queries in hand, taken to be like our running ones: those with bad plans never
     * end.
     */
    private double threadsACore(Engine engine) {
        return engine.report.inFlight()
                * (runTicks > 0 ? runThreadTicks / runTicks : 1)
                / engine.cores;
    }

    private boolean fresh(Engine engine) {
        return now - engine.reportNs < FRESH_NS;
    }

    /**
     * Log of how much slower than usual the engine is, by its answers, which fade, and what is
     * overdue there. Guards against jammed, slowed, ageing and silent engines; one odd query among
     * many moves it little.
     */
    private double slowness(Engine engine) {
        double weight =
                engine.slowWeight * Math.exp(-(now - engine.slowNs) / (double) SLOW_FADE_NS);
        double sum = weight * engine.slowLog;
        for (Query query : engine.running) {
            double late =
                    Math.log((now - query.sentNs + 1.0) / query.usualNs()) * evenness(query.cls);
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
    private static double evenness(ClassFacts classFacts) {
        boolean untold = classFacts.estimates > 0 && classFacts.told == 0;
        return untold ? 1 : Math.min(1, SPREAD_LOG / Math.max(1e-3, classFacts.spreadLog));
    }

    // ---- The one send path: the rules are kept here
    private boolean maySend(Query query, Engine engine) {
        return ready(engine)
                && !query.over
                && query.out == null
                && query.attempts < allowed.maxAttempts()
                && (query.cls.spec.engineKinds().isEmpty()
                        || query.cls.spec.engineKinds().contains(engine.entry.kind()))
                && (query.cls.spec.zones().isEmpty()
                        || query.cls.spec.zones().contains(engine.entry.zone()))
                && hasTurn(query)
                && effectAllows(query, engine)
                && withinColdBudget(query, engine)
                && withinResendBudget(query);
    }

    private static boolean ready(Engine engine) {
        return engine.entry != null && engine.entry.state() == EndpointState.READY;
    }

    private List<Engine> ready() {
        return new ArrayList<>(
                engines.values().stream().filter(DefaultWorkloadManager::ready).toList());
    }

    private boolean hasTurn(Query query) {
        return query.line == null
                || query.line.waiting.peek() == query
                        && (query.attempts > 0 || now >= query.line.restUntilNs);
    }

    /**
     * An unsafe query that may have run stays; a deduplicated one goes where repeats are dropped.
     */
    private boolean effectAllows(Query query, Engine engine) {
        if (query.mayHaveRunOn == null || query.cls.spec.retrySafety() == RetrySafety.IDEMPOTENT) {
            return true;
        }
        boolean group =
                switch (query.cls.spec.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> engine.entry.zone().equals(query.mayHaveRunOn.zone());
                    case CELL -> engine.entry.cell() == query.mayHaveRunOn.cell();
                };
        return query.cls.spec.retrySafety() == RetrySafety.DEDUPLICATED
                && group
                && now - query.mayHaveRunNs < query.cls.spec.deduplicationWindowNs() - TICK_NS;
    }

    /**
     * Guards a cold engine: what all gateways send it in a window stays under what it bears. Where
     * our share holds no query, one of a class of which it bears many gets in by chance, and a
     * chance not taken lapses.
     */
    private boolean withinColdBudget(Query query, Engine engine) {
        if (!cold(engine)) {
            return true;
        }
        double window = limits.slowStartWindowNs();
        double gap = coldGapNs(query, engine);
        if (gap <= window) {
            engine.coldNextNs =
                    Double.isNaN(engine.coldNextNs) ? now - COLD_BURST * window : engine.coldNextNs;
            return now >= engine.coldNextNs + gap;
        }
        if (gap * COLD_PARTS >= window * settings.routerCount()) {
            return false;
        }
        if (!(now <= engine.coldNextNs + window && engine.coldNextNs <= now + gap)) {
            engine.coldNextNs = now + random.nextDouble() * gap;
        }
        return now >= engine.coldNextNs;
    }

    /**
     * Time in which our share of what the engine bears while cold adds up to one query of the
     * class.
     */
    private double coldGapNs(Query query, Engine engine) {
        return heavyMs(query.cls)
                * MS
                * settings.routerCount()
                / (COLD_MARGIN
                        * limits.slowStartOverloadFactor()
                        * limits.slowStartFraction()
                        * engine.cores
                        * CAPACITY);
    }

    /** Usual work, on the safe side while few queries were seen. */
    private static double heavyMs(ClassFacts classFacts) {
        int seen = classFacts.estimates + classFacts.told;
        return (FEW * priorMs(classFacts) + seen * usualMs(classFacts)) / (FEW + seen);
    }

    private boolean cold(Engine engine) {
        return engine.entry.startedNs() > 0
                && limits.slowStartOverloadFactor() > 0
                && now < engine.entry.startedNs() + limits.slowStartNs();
    }

    private boolean withinResendBudget(Query query) {
        forgetBefore(now - limits.retryBudgetWindowNs());
        return limits.retryBudgetWindowNs() <= 0
                || query.attempts == 0
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

    private void send(Query query, Engine engine) {
        if (query.attempts > 0) {
            resent.add(now);
        }
        if (cold(engine)) {
            double gap = coldGapNs(query, engine);
            double saved =
                    gap <= limits.slowStartWindowNs() ? COLD_BURST * limits.slowStartWindowNs() : 0;
            engine.coldNextNs = Math.max(engine.coldNextNs, now - saved) + gap;
        }
        if (engine.bound.threads == 0 && engine.bound.completions == 0) {
            engine.bound.periodStartNs = now;
        }
        query.grantMb = allowed.memoryGrants() && query.memoryMb > 0 ? grant(query, engine) : 0;
        if (allowed.memoryGrants() || allowed.priorities()) {
            out.add(new SetAttemptResources(query.id, priority(query), query.grantMb));
        }
        query.out = engine;
        query.sentTo = engine.entry;
        query.sentNs = now;
        query.workingFromNs = now;
        query.attempts++;
        query.cancelled = false;
        engine.running.add(query);
        count(engine, query, 1);
        out.add(
                new StartAttempt(
                        query.id, engine.name, Math.max(MS, query.deadlineNs - now - CUT_NS)));
    }

    private void count(Engine engine, Query query, int sign) {
        engine.threads += sign * query.cls.spec.threads();
        engine.bound.threads += sign * query.cls.spec.threads();
        engine.workMs += sign * query.workMs;
    }

    private long grant(Query query, Engine engine) {
        double most =
                engine.memoryMb > 0
                        ? allowed.maxGrantFraction() * engine.memoryMb
                        : Double.MAX_VALUE;
        double need = query.needMb > 0 ? query.needMb : query.memoryMb * query.cls.memoryBias;
        return Math.max(1, Math.round(Math.min(most, need * GRANT_MARGIN)));
    }

    /**
     * Brief queries go first where cores are short: they delay long ones little. What is late goes
     * last.
     */
    private int priority(Query query) {
        return !allowed.priorities() ? 1 : now >= query.aimNs() ? 0 : brief(query) ? 3 : 1;
    }

    // ---- A running query is watched
    private void progress(AttemptProgress attemptProgress) {
        Query query = queries.get(attemptProgress.id());
        Engine engine = engines.get(attemptProgress.engine());
        if (query == null
                || query.out == null
                || query.out != engine
                || attemptProgress.attempt() != query.attempts - 1) {
            return;
        }
        engine.heardNs = now;
        if (attemptProgress.kind() == ProgressKind.WAITING) {
            query.workingFromNs = now;
        } else if (attemptProgress.kind() == ProgressKind.SPILLED_MB) {
            regrant(query, query.grantMb + attemptProgress.amount());
        } else if (attemptProgress.kind() == ProgressKind.FRACTION_DONE
                && attemptProgress.amount() > 0) {
            restartBadPlan(query, attemptProgress.amount());
        }
    }

    /**
     * Guards against estimates of memory that lie: one that has hardly begun starts again with its
     * need.
     */
    private void regrant(Query query, double needMb) {
        if (query.needMb == 0 && query.grantMb > 0) {
            learnGrant(query, needMb);
        }
        query.needMb = Math.max(query.needMb, needMb);
        if (movable(query)
                && grant(query, query.out) > SHORT_GRANT * query.grantMb
                && now - query.workingFromNs < EARLY * query.usualNs()) {
            cancel(query);
        }
    }

    /**
     * Guards against bad plans: what still lies ahead is far more than a fresh start would take.
     */
    private void restartBadPlan(Query query, double share) {
        long ran = now - query.workingFromNs;
        double ahead = ran * (1 - share) / share;
        double fresh =
                query.usualNs() * Math.exp(Math.max(0, Math.max(slowLog, slowness(query.out))));
        if (ahead + ran > BAD_PLAN * fresh && ahead > 2 * fresh && now + fresh < query.deadlineNs) {
            restart(query);
        }
    }

    /**
     * Where no notes come time must tell: far over the usual at the day's spread, and late already.
     */
    private void restartLongRunner(Query query) {
        double far =
                (Math.log(BAD_PLAN) + Math.max(0, slowLog - PRESSED_LOG)) / evenness(query.cls);
        if (allowed.progressIntervalNs() == 0
                && !brief(query)
                && now > query.aimNs()
                && now - query.sentNs > query.usualNs() * Math.exp(far)) {
            restart(query);
        }
    }

    private void restart(Query query) {
        if (movable(query) && query.restarts < BAD_PLAN_RESTARTS) {
            query.restarts++;
            cancel(query);
        }
    }

    private void cancel(Query query) {
        query.cancelled = true;
        out.add(new CancelAttempt(query.id, query.attempts - 1));
    }

    // ---- An attempt ends
    private void ended(AttemptEnded attemptEnded) {
        Query query = queries.get(attemptEnded.id());
        Engine engine = engines.get(attemptEnded.engine());
        if (engine != null) {
            if (!attemptEnded.loadReport().equals(LoadReport.NONE)) {
                engine.report = attemptEnded.loadReport();
                engine.reportNs = now;
            }
            judge(engine, attemptEnded.outcome());
        }
        if (query == null || query.out == null || attemptEnded.attempt() != query.attempts - 1) {
            return;
        }
        Engine ran = query.out;
        ran.running.remove(query);
        query.out = null;
        if (attemptEnded.outcome() == Outcome.SERVED) {
            learn(query, ran, attemptEnded);
        }
        if (attemptEnded.outcome().mayHaveRun() && query.mayHaveRunOn == null) {
            query.mayHaveRunOn = query.sentTo;
            query.mayHaveRunNs = query.sentNs;
        }
        boolean mayStillRun = MAY_STILL_RUN.contains(attemptEnded.outcome());
        if (query.line != null && mayStillRun) {
            query.line.restUntilNs = now + limits.keyQuietPeriodNs();
        }
        // Guards against an engine that looks idle while it still works on what was given up there.
        boolean haunts = mayStillRun && !allowed.cancellation();
        ran.ghosts.add(
                new Ghost(haunts ? now + (long) (GHOST_SHARE * (now - query.sentNs)) : now, query));
        layGhosts(ran);
        query.over |= attemptEnded.clientAnswered();
        if (query.over) {
            forget(query);
        } else {
            again(query);
        }
        closePeriodIfDue(ran.bound);
        release();
    }

    private void layGhosts(Engine engine) {
        engine.ghosts.stream()
                .filter(ghost -> now >= ghost.untilNs())
                .forEach(ghost -> count(engine, ghost.of(), -1));
        engine.ghosts.removeIf(ghost -> now >= ghost.untilNs());
    }

    /** Another attempt where the rules allow one and time is left, else the final answer. */
    private void again(Query query) {
        boolean repeatable =
                query.mayHaveRunOn == null
                        || query.cls.spec.retrySafety() != RetrySafety.AT_MOST_ONCE;
        if (repeatable
                && query.attempts < allowed.maxAttempts()
                && now + ANSWER_NS < query.deadlineNs) {
            held.add(query);
        } else {
            answer(query);
        }
    }

    /**
     * Guards against answers after the client's time, also for a query whose time is short on
     * arrival.
     */
    private void answerIfDue(Query query) {
        if (held.contains(query) && now + ANSWER_NS >= query.deadlineNs) {
            answer(query);
        }
    }

    /**
     * The one finish path: refuses where that is harmless, else fails; at once, with retry advice.
     */
    private void answer(Query query) {
        query.over = true;
        boolean harmless =
                query.mayHaveRunOn == null
                        || query.cls.spec.retrySafety() == RetrySafety.IDEMPOTENT
                        || query.cls.spec.retrySafety() == RetrySafety.DEDUPLICATED
                                && query.cls.spec.deduplicationScope() == DeduplicationScope.ALL;
        out.add(harmless ? new Reject(query.id, allowed.maxRetryAfterNs()) : new Fail(query.id));
        forget(query);
    }

    /** Drops a query that is over and has nothing out, and lets the next of its key go. */
    private void forget(Query query) {
        if (!query.over || query.out != null) {
            return;
        }
        held.remove(query);
        queries.remove(query.id);
        if (query.line != null) {
            query.line.waiting.remove(query);
        }
    }

    private void clientGone(ClientDisconnected clientDisconnected) {
        Query query = queries.get(clientDisconnected.id());
        if (query != null) {
            if (query.out != null && movable(query)) {
                cancel(query); // the work would serve nobody
            }
            query.over = true;
            forget(query);
            release();
        }
    }

    // ---- Feedback: what answers teach, and the steps of the bound
    private void learn(Query query, Engine engine, AttemptEnded end) {
        double stretch =
                Math.log(
                        Math.max(
                                1e-3,
                                end.durationNs()
                                        / (double) MS
                                        * query.cls.spec.threads()
                                        / Math.max(1e-3, query.estimateMs)));
        if (!pressed(engine)) { // a jam must not become the usual, nor the lucky ones that pass it
            double step =
                    query.estimated ? USUAL_STEP : Math.max(USUAL_STEP, 1.0 / ++query.cls.lessons);
            double upper = query.cls.usualLog + query.cls.spreadLog;
            query.cls.usualLog +=
                    step * (stretch < query.cls.usualLog ? USUAL_QUANTILE - 1 : USUAL_QUANTILE);
            upper += step * (stretch < upper ? -USUAL_QUANTILE : 1 - USUAL_QUANTILE);
            query.cls.spreadLog = Math.max(0, upper - query.cls.usualLog);
        }
        if (end.workMs() > 0) {
            double weight = Math.max(CLASS_WEIGHT, 1.0 / ++query.cls.told);
            query.cls.meanToldMs += weight * (end.workMs() - query.cls.meanToldMs);
        }
        double excess = (stretch - query.cls.usualLog) * evenness(query.cls);
        double old = engine.slowWeight * Math.exp(-(now - engine.slowNs) / (double) SLOW_FADE_NS);
        engine.slowWeight = Math.min(SLOW_ANSWERS, old + 1);
        engine.slowLog += (excess - engine.slowLog) / engine.slowWeight;
        engine.slowNs = now;
        slowLog += MEAN_WEIGHT * (excess - slowLog);
        engine.bound.completions++;
        engine.bound.responseSumNs += end.durationNs();
        if (query.grantMb > 0 && query.needMb == 0) {
            learnGrant(query, end.memoryMb() > 0 ? end.memoryMb() : 0);
        }
    }

    private void learnGrant(Query query, double needMb) {
        double off = Math.log(Math.max(1e-3, needMb / query.memoryMb / query.cls.memoryBias));
        double by = GRANT_LEARN * (off > 0 ? GRANT_QUANTILE : GRANT_QUANTILE - 1);
        query.cls.memoryBias *= Math.exp(query.cls.memoryLessons++ == 0 && off > 0 ? off : by);
    }

    private void closePeriodIfDue(Bound bound) {
        long length = now - bound.periodStartNs;
        if (bound.completions < PERIOD_COMPLETIONS
                && !(bound.periodHeld
                        && length >= PERIOD_NS
                        && bound.completions >= LEAST_COMPLETIONS)) {
            return;
        }
        double throughput = bound.completions / (double) Math.max(1, length);
        double response = bound.responseSumNs / bound.completions;
        step(bound, throughput, response);
        bound.startPeriod(throughput, response, now);
    }

    /**
     * While queries are held: a step up stays only if throughput gained; else the bound drifts
     * down.
     */
    private void step(Bound bound, double throughput, double response) {
        double size = Math.max(1, STEP_SHARE * seed(bound));
        boolean outwait = held.stream().anyMatch(query -> now >= query.aimNs());
        boolean slower =
                bound.lastResponseNs > 0 && response > bound.lastResponseNs * (1 + THRESHOLD);
        boolean mayFall =
                !outwait && !slower && (bound.moved >= size || bound.fullNs >= bound.periodStartNs);
        if (bound.periodHeld) {
            boolean gained = throughput > bound.lastThroughput * (1 + THRESHOLD);
            move(
                    bound,
                    !crowded() && bound.lastStep <= 0 || gained
                            ? size
                            : mayFall || crowded() ? -size : 0);
        } else {
            boolean lost = throughput < bound.lastThroughput * (1 - THRESHOLD);
            move(bound, lost && bound.lastStep < 0 ? size : mayFall ? -size : 0);
        }
    }

    private void move(Bound bound, double by) {
        bound.moved =
                Math.max(1 - seed(bound), Math.min((FLOOD - 1) * seed(bound), bound.moved + by));
        bound.lastStep = by;
    }

    // ---- What is believed of the engines
    private void judge(Engine engine, Outcome outcome) {
        boolean sign = Set.of(Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED).contains(outcome);
        engine.heardNs = sign ? now : engine.heardNs;
        if (outcome == Outcome.SERVED || outcome == Outcome.ERROR) {
            // Guards against an engine whose answers are errors: they are so fast that it looks
            // lightest.
            engine.errors += ERROR_WEIGHT * ((outcome == Outcome.ERROR ? 1 : 0) - engine.errors);
            if (engine.errors < ERRORS) {
                engine.avoidNs = 0;
            } else if (outcome == Outcome.ERROR && now >= engine.avoidUntilNs) {
                avoid(engine);
            }
        } else if (outcome == Outcome.REJECTED) {
            engine.fullNs = now;
            engine.bound.fullNs = now;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            avoid(engine);
        }
    }

    private void probed(HealthCheckCompleted completed) {
        Engine engine = engines.get(completed.engine());
        if (engine != null) {
            if (completed.outcome() == Outcome.SERVED) {
                engine.report = completed.loadReport();
                engine.reportNs = now;
            }
            engine.probing = false;
            release();
        }
    }

    /** Guards against engines that are down, cut off or silent, whatever the list says of them. */
    private void avoid(Engine engine) {
        engine.avoidNs = Math.min(AVOID_MOST_NS, Math.max(AVOID_NS, 2 * engine.avoidNs));
        engine.avoidUntilNs = now + engine.avoidNs;
    }

    /** An engine that takes work and gives no sign of it, though its probes are answered. */
    private boolean silent(Engine engine) {
        for (Query query : engine.running) {
            double patience =
                    allowed.progressIntervalNs() > 0
                            ? SILENT_NOTES * allowed.progressIntervalNs()
                            : query.usualNs()
                                    * Math.exp(
                                            (SILENT_LOG + Math.max(0, slowLog))
                                                    / evenness(query.cls));
            if (now - Math.max(query.sentNs, engine.heardNs) > Math.max(SILENT_NS, patience)) {
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
        for (Engine engine : engines.values()) {
            engine.entry =
                    news.kind() == EndpointListKind.DELTA || named.contains(engine.name)
                            ? engine.entry
                            : null;
        }
        homesOf.clear();
        allotBounds();
        release();
    }

    private void listed(Endpoint entry) {
        Engine engine = engines.computeIfAbsent(entry.engine(), Engine::new);
        boolean restarted = engine.entry == null || entry.startedNs() > engine.entry.startedNs();
        engine.entry = entry.state() == EndpointState.REMOVED ? null : entry;
        for (EngineKind engineKind : settings.kinds()) {
            if (engineKind.name().equals(entry.kind())) {
                engine.cores = engineKind.cores();
                engine.memoryMb = engineKind.memoryMb();
            }
        }
        if (restarted) {
            engine.bound.moved = engine.bound == pool ? pool.moved : 0;
            engine.slowWeight = 0;
            engine.coldNextNs = Double.NaN;
            engine.avoidUntilNs = State.NEVER;
            engine.avoidNs = 0;
            engine.errors = 0;
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
                                query -> // some that can still be in time wait for room
                                now - query.takenNs > TICK_NS
                                                && now + query.usualNs() < query.aimNs()
                                                && hasTurn(query));
        for (Query query : List.copyOf(held)) {
            answerIfDue(query);
            boolean late = now + query.usualNs() >= query.aimNs();
            if (held.contains(query)
                    && late
                    && (contended || query.cls.spec.lateWeightFraction() == 0)) {
                answer(query); // given up for those that can still be in time
            } else if (held.contains(query) && late && query.worth == query.fullWorth) {
                held.remove(query);
                query.worth = query.fullWorth * query.cls.spec.lateWeightFraction();
                held.add(query);
            }
        }
        keys.values().removeIf(keyLine -> keyLine.waiting.isEmpty() && now >= keyLine.restUntilNs);
        engines.values()
                .removeIf(
                        engine ->
                                engine.entry == null
                                        && engine.running.isEmpty()
                                        && engine.ghosts.isEmpty());
        for (Engine engine : engines.values()) {
            if (allowed.healthChecks()
                    && ready(engine)
                    && !engine.probing
                    && probes >= PROBES_SAVED / 2
                    && now - engine.probedNs >= STALE_NS) {
                probe(engine);
            }
            layGhosts(engine);
            closePeriodIfDue(engine.bound);
            engine.running.forEach(this::restartLongRunner);
            if (now >= engine.avoidUntilNs && silent(engine)) {
                avoid(engine);
                out.add(
                        new Log(
                                "avoiding "
                                        + engine.name
                                        + ": it takes queries and gives no sign of them"));
                engine.running.stream()
                        .filter(this::movable)
                        .forEach(this::cancel); // freed, they go elsewhere
            }
        }
        release();
    }

    private boolean movable(Query query) {
        return allowed.cancellation()
                && query.cls.spec.retrySafety() == RetrySafety.IDEMPOTENT
                && !query.over
                && !query.cancelled
                && query.attempts < allowed.maxAttempts();
    }
}
