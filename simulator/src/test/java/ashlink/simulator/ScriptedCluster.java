package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates clients, engines and endpoint lists around the adapter, with all random choices derived
 * from one seed: clients submit queries, engines execute queries and have faults, endpoints change,
 * and the actions of the decision module take effect. Records all lines of the protocol.
 */
final class ScriptedCluster {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long START_NS = 5 * SECOND;

    /** Granularity of times, so that events share a batch and occur exactly at time limits. */
    private static final long TIME_STEP_NS = 2 * MS;

    /** Factors of the query rate; each factor applies for three seconds. */
    private static final double[] RATE_FACTORS = {1, 0.4, 3, 0.1, 1.6, 5, 0.7};

    private static final int KEYS = 6;
    private static final int TABLE_GROUPS = 4;

    /** Fault state of an engine. */
    private enum Fault {
        NONE,
        SLOW,
        UNRESPONSIVE,
        REJECTS_QUERIES,
        UNREACHABLE,
        RESETS_CONNECTIONS,
        FAILS_QUERIES
    }

    /** An instance of the decision module, from creation to removal. */
    private static final class Instance {
        private final long id;
        private boolean removed;

        Instance(long id) {
            this.id = id;
        }
    }

    /** The state of an engine; the instances see only a part of the state. */
    private static final class Engine {
        private final String name;
        private final int index;
        private final int cores;
        private final double memoryMb;
        private final String kind;
        private String zone;
        private String state = "ready";
        private long startedNs;
        private Fault fault = Fault.NONE;
        private final List<Attempt> running = new ArrayList<>();

        Engine(int index, String kind, int cores, double memoryMb) {
            this.name = "engine-" + index + ":9";
            this.index = index;
            this.kind = kind;
            this.cores = cores;
            this.memoryMb = memoryMb;
            this.zone = "zone-" + index % 3;
        }
    }

    /** A query with its actual cost. */
    private static final class Query {
        private final long id;
        private final int classIndex;
        private final int threads;
        private final double workMs;
        private final double memoryMb;
        private int attempts;
        private long grantedMb;
        private double firstAttemptSlowdown = 1;

        Query(long id, int classIndex, int threads, double workMs, double memoryMb) {
            this.id = id;
            this.classIndex = classIndex;
            this.threads = threads;
            this.workMs = workMs;
            this.memoryMb = memoryMb;
        }
    }

    /** One attempt of a query. */
    private static final class Attempt {
        private final Instance instance;
        private final Query query;
        private final Engine engine;
        private final int number;
        private final long startedNs;
        private long durationNs;
        private long workStartedNs;
        private boolean spillReported;
        private boolean ended;

        Attempt(Instance instance, Query query, Engine engine, long nowNs) {
            this.instance = instance;
            this.query = query;
            this.engine = engine;
            this.number = query.attempts++;
            this.startedNs = nowNs;
            this.workStartedNs = nowNs;
        }
    }

    private final Scenario scenario;
    private final Fields settings;
    private final SplittableRandom random;
    private final SimulatorAdapter adapter = new SimulatorAdapter();
    private final List<String> transcript = new ArrayList<>();
    private final VirtualScheduler scheduler = new VirtualScheduler(START_NS);
    private final StringBuilder batch = new StringBuilder();
    private final Map<Long, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new HashMap<>();
    private final boolean pollsEndpoints;
    private final boolean reportsInline;
    private final long progressIntervalNs;
    private long lastQueryId = 100;
    private long lastListId;
    private int events;

    /** Creates a cluster in its initial state. */
    ScriptedCluster(Scenario scenario) {
        this.scenario = scenario;
        this.settings = scenario.fields();
        this.random = new SplittableRandom(scenario.seed());
        this.pollsEndpoints = settings.text("discovery", "push").equals("ask");
        this.reportsInline = settings.text("stats.via", "off").equals("inline");
        this.progressIntervalNs = settings.integer("extra.progress-pace-ns", 0);
        for (int i = 0; i < scenario.engines(); i++) {
            addEngine(i);
        }
    }

    private void addEngine(int index) {
        String[] kinds = settings.required("host-types").split(",");
        int kind = index % kinds.length;
        Engine engine =
                new Engine(
                        index,
                        kinds[kind],
                        Integer.parseInt(settings.required("extra.kind-cores").split(",")[kind]),
                        Double.parseDouble(
                                settings.required("extra.ram-of-kind-mb").split(",")[kind]));
        engine.startedNs = index % 4 == 3 ? START_NS - SECOND : 0;
        engines.put(engine.name, engine);
    }

    /** Runs the scenario and returns the lines of the protocol with their transcript prefixes. */
    List<String> record() throws IOException {
        for (long id = 1; id <= scenario.instances(); id++) {
            long instance = id;
            scheduleAt(nowNs(), () -> startInstance(instance));
        }
        scheduleRepeatedly(scenario.faultsPerS(), this::injectFault);
        scheduleRepeatedly(scenario.endpointChangesPerS(), this::changeEndpoints);
        if (scenario.instances() > 1) {
            scheduleRepeatedly(0.15, this::replaceInstance);
        }
        while (events < scenario.events()) {
            scheduler.runNext();
            if (batch.length() > 0) {
                flushBatch();
            }
        }
        return transcript;
    }

    // Time and the protocol

    private void scheduleAt(long timeNs, Runnable task) {
        scheduler.scheduleAt(timeNs, task);
    }

    /** Schedules a task after a delay, rounded down to time steps and at least one step long. */
    private void scheduleAfter(double delayNs, Runnable task) {
        scheduleAt(nowNs() + Math.max(1, (long) (delayNs / TIME_STEP_NS)) * TIME_STEP_NS, task);
    }

    private long nowNs() {
        return scheduler.nowNs();
    }

    private void scheduleRepeatedly(double perSecond, Runnable task) {
        if (perSecond > 0) {
            scheduleAfter(
                    exponentialGapNs(perSecond),
                    () -> {
                        task.run();
                        scheduleRepeatedly(perSecond, task);
                    });
        }
    }

    private double exponentialGapNs(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private void send(Instance instance, String name, String pairs) {
        if (!instance.removed) {
            send(name + " router-id=" + instance.id + " " + pairs);
        }
    }

    private void send(String line) {
        batch.append(line).append('\n');
    }

    private void flushBatch() throws IOException {
        String input = "SYNC moment-ns=" + nowNs() + "\n" + batch + "END\n";
        batch.setLength(0);
        StringWriter reply = new StringWriter();
        adapter.run(new BufferedReader(new StringReader(input)), reply);
        input.lines().forEach(line -> transcript.add(Transcript.IN + line));
        reply.toString().lines().forEach(line -> transcript.add(Transcript.OUT + line));
        events += input.lines().filter(line -> Transcript.isEvent(Transcript.IN + line)).count();
        reply.toString().lines().forEach(this::handleReply);
    }

    private void handleReply(String line) {
        String name = line.split(" ", 2)[0];
        if (name.equals("OK") || name.equals("REMARK") || name.equals("BAIL_OUT")) {
            return;
        }
        Fields fields = LineFields.of(line);
        Instance instance = instances.get(fields.integer("router-id"));
        switch (name) {
            case "FORWARD" -> startAttempt(instance, fields);
            case "LIMITS_FOR" ->
                    queries.get(fields.integer("op-id")).grantedMb = fields.integer("mem-mb");
            case "CALL_OFF" ->
                    cancelAttempt(instance, fields.integer("op-id"), fields.integer("shot"));
            case "PING" ->
                    scheduleAfter(
                            random.nextDouble(0.3, 4) * MS,
                            () -> completeHealthCheck(instance, fields.required("engine")));
            case "SET_ALARM" ->
                    scheduleAt(
                            fields.integer("time-ns"),
                            () -> send(instance, "FIRED", "label=" + fields.integer("label")));
            case "TAIL" -> scheduleAfter(5 * MS, () -> answerWatch(instance));
            default -> {}
        }
    }

    // Instances and endpoints

    private void startInstance(long id) {
        Instance instance = new Instance(id);
        instances.put(id, instance);
        send(
                "NEW_INSTANCE router-id="
                        + id
                        + " nonce64="
                        + (scenario.seed() * 31 + id)
                        + " position="
                        + id
                        + " "
                        + scenario.settingsLine());
        if (pollsEndpoints) {
            scheduleAfter(50 * MS, () -> send(instance, "FIRED", "label=2"));
        } else {
            List<Engine> known = List.copyOf(engines.values()).subList(0, scenario.engines() / 2);
            announce(known, "remembered", instance);
            scheduleAfter(80 * MS, () -> announce(listedEngines(), "all", instance));
        }
        scheduleAfter(10 * MS, () -> submitQueries(instance));
    }

    private void replaceInstance() {
        long id = 1 + random.nextInt(scenario.instances());
        if (!instances.get(id).removed) {
            send("RETIRE router-id=" + id);
            instances.get(id).removed = true;
            scheduleAfter(300 * MS, () -> startInstance(id));
        }
    }

    private void answerWatch(Instance instance) {
        if (chance(0.3)) {
            send(instance, "ANNOUNCE", "form=refused");
        } else {
            announce(listedEngines(), "all", instance);
        }
    }

    private List<Engine> listedEngines() {
        return engines.values().stream().filter(engine -> !engine.state.equals("gone")).toList();
    }

    private void announce(List<Engine> entries, String listKind, Instance instance) {
        if (!instance.removed) {
            sendEndpointList(entries);
            send(
                    instance,
                    "ANNOUNCE",
                    "stamp=" + lastListId + " form=" + listKind + " list=" + lastListId);
        }
    }

    private void sendEndpointList(List<Engine> entries) {
        send("LIST list=" + ++lastListId + " lines=" + entries.size());
        for (Engine engine : entries) {
            send(
                    "M stripe="
                            + engine.index % 2
                            + " share=1 engine="
                            + engine.name
                            + " phase="
                            + engine.state
                            + " zone="
                            + engine.zone
                            + " sku="
                            + engine.kind
                            + " came-up-ns="
                            + engine.startedNs);
        }
    }

    private void changeEndpoints() {
        Engine engine = randomEngine();
        switch (random.nextInt(5)) {
            case 0 -> engine.state = "draining";
            case 1 -> engine.state = "gone";
            case 2 -> engine.zone = "zone-" + random.nextInt(3);
            default -> restartEngine(engine);
        }
        if (!engine.state.equals("ready")) {
            scheduleAfter(
                    random.nextDouble(0.5, 3) * SECOND,
                    () -> {
                        restartEngine(engine);
                        announceToAll(engine);
                    });
        }
        announceToAll(engine);
    }

    private void restartEngine(Engine engine) {
        engine.state = "ready";
        engine.startedNs = nowNs();
        engine.fault = chance(0.6) ? Fault.NONE : engine.fault;
        for (Attempt attempt : List.copyOf(engine.running)) {
            endAttempt(attempt, "dropped");
        }
    }

    private void announceToAll(Engine changed) {
        boolean snapshot = chance(0.3);
        for (Instance instance : instances.values()) {
            announce(
                    snapshot ? listedEngines() : List.of(changed),
                    snapshot ? "all" : "changes",
                    instance);
        }
        if (pollsEndpoints && chance(0.3)) {
            send(instances.get(1L), "ANNOUNCE", "form=refused");
        }
    }

    private Engine randomEngine() {
        return List.copyOf(engines.values()).get(random.nextInt(engines.size()));
    }

    private void injectFault() {
        Fault[] faults = Fault.values();
        Fault fault = faults[1 + random.nextInt(faults.length - 1)];
        List<Engine> affected =
                chance(0.1) ? List.copyOf(engines.values()) : List.of(randomEngine());
        for (Engine engine : affected) {
            engine.fault = fault;
            scheduleAfter(random.nextDouble(0.5, 5) * SECOND, () -> engine.fault = Fault.NONE);
        }
    }

    // Clients

    private void submitQueries(Instance instance) {
        if (instance.removed) {
            return;
        }
        submitQuery(instance);
        double rateFactor = RATE_FACTORS[(int) (nowNs() / (3 * SECOND) % RATE_FACTORS.length)];
        scheduleAfter(
                exponentialGapNs(scenario.queriesPerS() * rateFactor),
                () -> submitQueries(instance));
    }

    private void submitQuery(Instance instance) {
        Query query = newQuery();
        String prefix = "classes." + query.classIndex + ".";
        String name = chance(0.004) ? "unheard-of" : settings.required(prefix + "name");
        long deadlineNs = chance(0.01) ? 50 * MS : settings.integer(prefix + "deadline-ns");
        StringBuilder pairs =
                new StringBuilder(
                        "op-id="
                                + query.id
                                + " class="
                                + name
                                + " data-group="
                                + random.nextInt(TABLE_GROUPS)
                                + " drop-dead-ns="
                                + (nowNs() + deadlineNs));
        if (chance(scenario.estimatedFraction())) {
            double estimatedMs = query.workMs * Math.exp(0.4 * gaussian());
            pairs.append(" guess-ns=").append((long) (estimatedMs * MS));
        }
        if (query.memoryMb > 0) {
            pairs.append(" want-mb=").append(rounded(query.memoryMb * Math.exp(0.5 * gaussian())));
        }
        if (settings.flag(prefix + "one-at-a-time") && chance(0.8)) {
            pairs.append(" relation=key-").append(random.nextInt(KEYS));
        }
        send(instance, "INGRESS", pairs + tenantField());
        if (chance(0.003)) {
            send(instance, "INGRESS", pairs.toString());
        }
        if (chance(0.03)) {
            scheduleAfter(
                    random.nextDouble() * deadlineNs / 4,
                    () -> send(instance, "CLIENT_GONE", "op-id=" + query.id));
        }
    }

    private Query newQuery() {
        int classIndex = random.nextInt((int) settings.integer("classes.count"));
        String[] threadsByClass = settings.text("extra.width-by-class", "").split(",");
        boolean isConfigured =
                classIndex < threadsByClass.length && !threadsByClass[classIndex].isEmpty();
        int threads = isConfigured ? Integer.parseInt(threadsByClass[classIndex]) : 1;
        double workMs = scenario.workMs().get(classIndex) * Math.exp(0.5 * gaussian());
        double memoryMb = chance(0.8) ? 4 * Math.exp(4 * random.nextDouble()) * threads : 0;
        Query query = new Query(++lastQueryId, classIndex, threads, workMs, memoryMb);
        query.firstAttemptSlowdown = chance(0.08) ? random.nextDouble(3, 12) : 1;
        queries.put(query.id, query);
        return query;
    }

    private String tenantField() {
        int count = (int) settings.integer("parties.count", 0);
        int index = count == 0 ? 0 : (int) ((count + 1) * Math.pow(random.nextDouble(), 2));
        return count == 0
                ? ""
                : index == count
                        ? " tenant=unlisted"
                        : " tenant=" + settings.required("parties." + index + ".name");
    }

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    // Engines

    private void startAttempt(Instance instance, Fields fields) {
        Query query = queries.get(fields.integer("op-id"));
        Engine engine = engines.get(fields.required("engine"));
        Attempt attempt = new Attempt(instance, query, engine, nowNs());
        engine.running.add(attempt);
        attempt.durationNs = drawDurationNs(attempt);
        scheduleAfter(fields.integer("timeout-ns"), () -> endAttempt(attempt, "expired"));
        if (chance(0.005)) {
            scheduleAfter(MS, () -> endAttempt(attempt, "unused"));
        }
        switch (engine.fault) {
            case UNRESPONSIVE -> {}
            case REJECTS_QUERIES ->
                    scheduleAfter(
                            MS, () -> endAttempt(attempt, chance(0.8) ? "shed" : "app_error"));
            case UNREACHABLE -> scheduleAfter(2 * MS, () -> endAttempt(attempt, "dial_failed"));
            case RESETS_CONNECTIONS ->
                    scheduleAfter(attempt.durationNs / 2.0, () -> endAttempt(attempt, "dropped"));
            case FAILS_QUERIES -> scheduleAfter(3 * MS, () -> endAttempt(attempt, "app_error"));
            default ->
                    scheduleAfter(
                            attempt.durationNs,
                            () -> endAttempt(attempt, chance(0.01) ? "app_error" : "delivered"));
        }
        if (progressIntervalNs > 0 && engine.fault != Fault.UNRESPONSIVE) {
            scheduleAfter(progressIntervalNs, () -> reportProgress(attempt));
        }
    }

    private long drawDurationNs(Attempt attempt) {
        Query query = attempt.query;
        Engine engine = attempt.engine;
        double overloadSlowdown = Math.max(1, threadsInUse(engine) / engine.cores);
        double faultSlowdown = engine.fault == Fault.SLOW ? 6 : 1;
        double planSlowdown = attempt.number == 0 ? query.firstAttemptSlowdown : 1;
        double spillSlowdown = query.grantedMb > 0 && query.grantedMb < query.memoryMb ? 1.5 : 1;
        return (long)
                (query.workMs
                        / query.threads
                        * overloadSlowdown
                        * faultSlowdown
                        * planSlowdown
                        * spillSlowdown
                        * Math.exp(0.2 * gaussian())
                        * MS);
    }

    private double threadsInUse(Engine engine) {
        double ownThreads =
                engine.running.stream().mapToInt(attempt -> attempt.query.threads).sum();
        double externalLoad = 0.5 + 0.5 * Math.sin((double) nowNs() / SECOND / 3 + engine.index);
        return ownThreads + scenario.externalThreadsPerCore() * externalLoad * engine.cores;
    }

    private void cancelAttempt(Instance instance, long id, long number) {
        for (Engine engine : engines.values()) {
            for (Attempt attempt : List.copyOf(engine.running)) {
                if (attempt.instance == instance
                        && attempt.query.id == id
                        && attempt.number == number) {
                    scheduleAfter(MS, () -> endAttempt(attempt, "revoked"));
                }
            }
        }
    }

    private void endAttempt(Attempt attempt, String outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.engine.running.remove(attempt);
        double completeProbability =
                switch (outcome) {
                    case "delivered" -> 0.98;
                    case "app_error" -> 0.3;
                    default -> 0.02;
                };
        String pairs =
                attemptFields(attempt)
                        + " verdict="
                        + outcome
                        + " lag-ns="
                        + (nowNs() - attempt.startedNs)
                        + " complete="
                        + (chance(completeProbability) ? 1 : 0)
                        + costField(attempt.query)
                        + (reportsInline && chance(0.9)
                                ? " gauge=" + loadReport(attempt.engine)
                                : "");
        send(attempt.instance, "RESOLVED", pairs);
        if (chance(0.003)) {
            send(attempt.instance, "RESOLVED", pairs);
        }
        if (progressIntervalNs > 0 && chance(0.1)) {
            scheduleAfter(random.nextDouble(0, 20) * MS, () -> sendProgress(attempt, 1, 0.01));
        }
    }

    private String costField(Query query) {
        if (!settings.flag("extra.cost-in-answers") || chance(0.1)) {
            return "";
        }
        return " note=" + ((long) query.workMs * 4096 + Math.min(4095, (long) query.memoryMb / 4));
    }

    private static String attemptFields(Attempt attempt) {
        return attemptFields(attempt, attempt.number);
    }

    private static String attemptFields(Attempt attempt, int number) {
        return "op-id=" + attempt.query.id + " shot=" + number + " engine=" + attempt.engine.name;
    }

    private void reportProgress(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        Query query = attempt.query;
        double fractionDone =
                (nowNs() - attempt.workStartedNs) / (double) Math.max(1, attempt.durationNs);
        if (attempt.number % 2 == 0 && fractionDone < 0.3 && chance(0.2)) {
            attempt.workStartedNs = nowNs();
            sendProgress(attempt, 3, 1 + random.nextInt(2));
        } else if (query.memoryMb > query.grantedMb
                && query.grantedMb > 0
                && !attempt.spillReported) {
            attempt.spillReported = true;
            sendProgress(attempt, 2, rounded(query.memoryMb - query.grantedMb));
        } else {
            sendProgress(attempt, 1, chance(0.03) ? 0 : rounded(Math.min(1, fractionDone)));
        }
        scheduleAfter(progressIntervalNs, () -> reportProgress(attempt));
    }

    private void sendProgress(Attempt attempt, int kind, double amount) {
        String pairs = " sort=" + kind + " amount=" + amount;
        send(attempt.instance, "UPDATE_OF", attemptFields(attempt) + pairs);
        if (chance(0.01)) {
            send(attempt.instance, "UPDATE_OF", attemptFields(attempt, attempt.number + 1) + pairs);
            send(
                    attempt.instance,
                    "UPDATE_OF",
                    "op-id="
                            + attempt.query.id
                            + " shot="
                            + attempt.number
                            + " engine="
                            + randomEngine().name
                            + " sort=1 amount=0.01");
        }
    }

    private void completeHealthCheck(Instance instance, String name) {
        Engine engine = engines.get(name);
        boolean reached = engine.fault != Fault.UNREACHABLE;
        send(
                instance,
                "PONG",
                "engine="
                        + name
                        + " lag-ns="
                        + MS
                        + (reached
                                ? " verdict=delivered gauge=" + loadReport(engine)
                                : " verdict=dial_failed"));
    }

    /** Returns a load report in which some values are noisyValue, missing or out of range. */
    private String loadReport(Engine engine) {
        if (chance(0.04)) {
            return "-";
        }
        double threads = threadsInUse(engine);
        double granted =
                engine.running.stream().mapToDouble(attempt -> attempt.query.grantedMb).sum();
        StringBuilder pairs = new StringBuilder();
        appendValue(pairs, "pending", Math.max(0, threads / engine.cores - 1.5) * engine.cores / 3);
        appendValue(pairs, "cpu_share", Math.min(1, threads / engine.cores));
        appendValue(pairs, "x0", Math.min(1, granted / engine.memoryMb));
        appendValue(pairs, "x1", chance(0.03) ? 0.97 : 0.3 * random.nextDouble());
        appendValue(pairs, "busy_reqs", Math.round(threads / 1.5));
        appendValue(pairs, "novel", 1);
        return pairs.toString();
    }

    private void appendValue(StringBuilder pairs, String name, double value) {
        if (!chance(0.06)) {
            double noisyValue = value * random.nextDouble(0.9, 1.1) - (chance(0.02) ? 0.2 : 0);
            pairs.append(pairs.length() > 0 ? "," : "");
            pairs.append(name).append(':').append(rounded(noisyValue));
        }
    }
}
