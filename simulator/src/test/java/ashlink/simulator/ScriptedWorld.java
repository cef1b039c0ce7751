package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A small world around the decisions, driven by one seed: clients ask, engines work and have
 * troubles, the list changes, and each action has its consequence. All that passes the wire is
 * written down.
 */
final class ScriptedWorld {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long START_NS = 5 * SECOND;

    /** Times are rounded to this, so that events share a batch and meet limits exactly. */
    private static final long GRAIN_NS = 2 * MS;

    /** Swings of the rate of queries, three seconds each. */
    private static final double[] SWINGS = {1, 0.4, 3, 0.1, 1.6, 5, 0.7};

    private static final int KEYS = 6;
    private static final int TABLE_GROUPS = 4;

    /** What ails an engine. */
    private enum Trouble {
        NONE,
        SLOW,
        SILENT,
        SHEDS,
        UNREACHABLE,
        RESETS,
        FAILS
    }

    /** Something that happens at a time; {@code order} keeps those of one time in order. */
    private record Happening(long timeNs, long order, Runnable deed) {}

    /** A gateway from its start to its retirement. */
    private static final class Instance {
        private final long id;
        private boolean retired;

        Instance(long id) {
            this.id = id;
        }
    }

    /** An engine as it truly is. */
    private static final class Engine {
        private final String name;
        private final int index;
        private final int cores;
        private final double memoryMb;
        private final String kind;
        private String zone;
        private String phase = "ready";
        private long cameUpNs;
        private Trouble trouble = Trouble.NONE;
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

    /** A query as it truly is. */
    private static final class Query {
        private final long id;
        private final int cls;
        private final int threads;
        private final double workMs;
        private final double memoryMb;
        private int attempts;
        private long grantMb;
        private double badPlan = 1;

        Query(long id, int cls, int threads, double workMs, double memoryMb) {
            this.id = id;
            this.cls = cls;
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
        private final long sentNs;
        private long lastsNs;
        private long workingFromNs;
        private boolean toldSpill;
        private boolean ended;

        Attempt(Instance instance, Query query, Engine engine, long now) {
            this.instance = instance;
            this.query = query;
            this.engine = engine;
            this.number = query.attempts++;
            this.sentNs = now;
            this.workingFromNs = now;
        }
    }

    private final Scenario scenario;
    private final Fields settings;
    private final SplittableRandom random;
    private final SimulatorAdapter drill = new SimulatorAdapter();
    private final List<String> transcript = new ArrayList<>();
    private final PriorityQueue<Happening> agenda =
            new PriorityQueue<>(
                    Comparator.comparingLong(Happening::timeNs)
                            .thenComparingLong(Happening::order));
    private final StringBuilder batch = new StringBuilder();
    private final Map<Long, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new HashMap<>();
    private final boolean asks;
    private final boolean inline;
    private final long noteEveryNs;
    private long now = START_NS;
    private long order;
    private long lastQuery = 100;
    private long lastList;
    private int events;

    /** A world at its beginning. */
    ScriptedWorld(Scenario scenario) {
        this.scenario = scenario;
        this.settings = scenario.fields();
        this.random = new SplittableRandom(scenario.seed());
        this.asks = settings.text("discovery", "push").equals("ask");
        this.inline = settings.text("stats.via", "off").equals("inline");
        this.noteEveryNs = settings.whole("extra.progress-pace-ns", 0);
        for (int i = 0; i < scenario.engines(); i++) {
            addEngine(i);
        }
    }

    private void addEngine(int index) {
        String[] kinds = settings.needed("host-types").split(",");
        int kind = index % kinds.length;
        Engine engine =
                new Engine(
                        index,
                        kinds[kind],
                        Integer.parseInt(settings.needed("extra.kind-cores").split(",")[kind]),
                        Double.parseDouble(
                                settings.needed("extra.ram-of-kind-mb").split(",")[kind]));
        engine.cameUpNs = index % 4 == 3 ? START_NS - SECOND : 0;
        engines.put(engine.name, engine);
    }

    /** Plays the scenario and returns the marked lines of the wire. */
    List<String> record() throws IOException {
        for (long id = 1; id <= scenario.instances(); id++) {
            long instance = id;
            at(now, () -> start(instance));
        }
        repeat(scenario.troubles(), this::strike);
        repeat(scenario.news(), this::changeList);
        if (scenario.instances() > 1) {
            repeat(0.15, this::replaceInstance);
        }
        while (events < scenario.events()) {
            now = agenda.peek().timeNs();
            while (!agenda.isEmpty() && agenda.peek().timeNs() == now) {
                agenda.poll().deed().run();
            }
            if (batch.length() > 0) {
                exchange();
            }
        }
        return transcript;
    }

    // ---- Time and the wire
    private void at(long timeNs, Runnable deed) {
        agenda.add(new Happening(Math.max(now, timeNs), order++, deed));
    }

    private void in(double delayNs, Runnable deed) {
        at(now + Math.max(1, (long) (delayNs / GRAIN_NS)) * GRAIN_NS, deed);
    }

    private void repeat(double perSecond, Runnable deed) {
        if (perSecond > 0) {
            in(
                    gapNs(perSecond),
                    () -> {
                        deed.run();
                        repeat(perSecond, deed);
                    });
        }
    }

    private double gapNs(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    private void tell(Instance instance, String name, String pairs) {
        if (!instance.retired) {
            tell(name + " router-id=" + instance.id + " " + pairs);
        }
    }

    private void tell(String line) {
        batch.append(line).append('\n');
    }

    private void exchange() throws IOException {
        String input = "SYNC moment-ns=" + now + "\n" + batch + "END\n";
        batch.setLength(0);
        StringWriter reply = new StringWriter();
        drill.run(new BufferedReader(new StringReader(input)), reply);
        input.lines().forEach(line -> transcript.add(Transcript.IN + line));
        reply.toString().lines().forEach(line -> transcript.add(Transcript.OUT + line));
        events += input.lines().filter(line -> Transcript.isEvent(Transcript.IN + line)).count();
        reply.toString().lines().forEach(this::react);
    }

    private void react(String line) {
        String name = line.split(" ", 2)[0];
        if (name.equals("OK") || name.equals("REMARK") || name.equals("BAIL_OUT")) {
            return;
        }
        Fields fields = LineFields.of(line);
        Instance instance = instances.get(fields.whole("router-id"));
        switch (name) {
            case "FORWARD" -> attempt(instance, fields);
            case "LIMITS_FOR" ->
                    queries.get(fields.whole("op-id")).grantMb = fields.whole("mem-mb");
            case "CALL_OFF" -> callOff(instance, fields.whole("op-id"), fields.whole("shot"));
            case "PING" ->
                    in(
                            random.nextDouble(0.3, 4) * MS,
                            () -> pong(instance, fields.needed("engine")));
            case "SET_ALARM" ->
                    at(
                            fields.whole("time-ns"),
                            () -> tell(instance, "FIRED", "label=" + fields.whole("label")));
            case "TAIL" -> in(5 * MS, () -> answerTail(instance));
            default -> {}
        }
    }

    // ---- Gateways and the list
    private void start(long id) {
        Instance instance = new Instance(id);
        instances.put(id, instance);
        tell(
                "NEW_INSTANCE router-id="
                        + id
                        + " nonce64="
                        + (scenario.seed() * 31 + id)
                        + " position="
                        + id
                        + " "
                        + scenario.settingsLine());
        if (asks) {
            in(50 * MS, () -> tell(instance, "FIRED", "label=2"));
        } else {
            List<Engine> known = List.copyOf(engines.values()).subList(0, scenario.engines() / 2);
            announce(known, "remembered", instance);
            in(80 * MS, () -> announce(listed(), "all", instance));
        }
        in(10 * MS, () -> ask(instance));
    }

    private void replaceInstance() {
        long id = 1 + random.nextInt(scenario.instances());
        if (!instances.get(id).retired) {
            tell("RETIRE router-id=" + id);
            instances.get(id).retired = true;
            in(300 * MS, () -> start(id));
        }
    }

    private void answerTail(Instance instance) {
        if (chance(0.3)) {
            tell(instance, "ANNOUNCE", "form=refused");
        } else {
            announce(listed(), "all", instance);
        }
    }

    private List<Engine> listed() {
        return engines.values().stream().filter(engine -> !engine.phase.equals("gone")).toList();
    }

    private void announce(List<Engine> entries, String form, Instance instance) {
        if (!instance.retired) {
            list(entries);
            tell(instance, "ANNOUNCE", "stamp=" + lastList + " form=" + form + " list=" + lastList);
        }
    }

    private void list(List<Engine> entries) {
        tell("LIST list=" + ++lastList + " lines=" + entries.size());
        for (Engine engine : entries) {
            tell(
                    "M stripe="
                            + engine.index % 2
                            + " share=1 engine="
                            + engine.name
                            + " phase="
                            + engine.phase
                            + " zone="
                            + engine.zone
                            + " sku="
                            + engine.kind
                            + " came-up-ns="
                            + engine.cameUpNs);
        }
    }

    private void changeList() {
        Engine engine = anyEngine();
        switch (random.nextInt(5)) {
            case 0 -> engine.phase = "draining";
            case 1 -> engine.phase = "gone";
            case 2 -> engine.zone = "zone-" + random.nextInt(3);
            default -> restart(engine);
        }
        if (!engine.phase.equals("ready")) {
            in(
                    random.nextDouble(0.5, 3) * SECOND,
                    () -> {
                        restart(engine);
                        announceToAll(engine);
                    });
        }
        announceToAll(engine);
    }

    private void restart(Engine engine) {
        engine.phase = "ready";
        engine.cameUpNs = now;
        engine.trouble = chance(0.6) ? Trouble.NONE : engine.trouble;
        for (Attempt attempt : List.copyOf(engine.running)) {
            end(attempt, "dropped");
        }
    }

    private void announceToAll(Engine changed) {
        boolean whole = chance(0.3);
        for (Instance instance : instances.values()) {
            announce(whole ? listed() : List.of(changed), whole ? "all" : "changes", instance);
        }
        if (asks && chance(0.3)) {
            tell(instances.get(1L), "ANNOUNCE", "form=refused");
        }
    }

    private Engine anyEngine() {
        return List.copyOf(engines.values()).get(random.nextInt(engines.size()));
    }

    private void strike() {
        Trouble[] troubles = Trouble.values();
        Trouble trouble = troubles[1 + random.nextInt(troubles.length - 1)];
        List<Engine> struck = chance(0.1) ? List.copyOf(engines.values()) : List.of(anyEngine());
        for (Engine engine : struck) {
            engine.trouble = trouble;
            in(random.nextDouble(0.5, 5) * SECOND, () -> engine.trouble = Trouble.NONE);
        }
    }

    // ---- Clients
    private void ask(Instance instance) {
        if (instance.retired) {
            return;
        }
        ingress(instance);
        double swing = SWINGS[(int) (now / (3 * SECOND) % SWINGS.length)];
        in(gapNs(scenario.perSecond() * swing), () -> ask(instance));
    }

    private void ingress(Instance instance) {
        Query query = newQuery();
        String at = "classes." + query.cls + ".";
        String name = chance(0.004) ? "unheard-of" : settings.needed(at + "name");
        long deadlineNs = chance(0.01) ? 50 * MS : settings.whole(at + "deadline-ns");
        StringBuilder pairs =
                new StringBuilder(
                        "op-id="
                                + query.id
                                + " class="
                                + name
                                + " data-group="
                                + random.nextInt(TABLE_GROUPS)
                                + " drop-dead-ns="
                                + (now + deadlineNs));
        if (chance(scenario.estimated())) {
            double guessMs = query.workMs * Math.exp(0.4 * gaussian());
            pairs.append(" guess-ns=").append((long) (guessMs * MS));
        }
        if (query.memoryMb > 0) {
            pairs.append(" want-mb=").append(rounded(query.memoryMb * Math.exp(0.5 * gaussian())));
        }
        if (settings.flag(at + "one-at-a-time") && chance(0.8)) {
            pairs.append(" relation=key-").append(random.nextInt(KEYS));
        }
        tell(instance, "INGRESS", pairs + tenant());
        if (chance(0.003)) {
            tell(instance, "INGRESS", pairs.toString());
        }
        if (chance(0.03)) {
            in(
                    random.nextDouble() * deadlineNs / 4,
                    () -> tell(instance, "CLIENT_GONE", "op-id=" + query.id));
        }
    }

    private Query newQuery() {
        int cls = random.nextInt((int) settings.whole("classes.count"));
        String[] widths = settings.text("extra.width-by-class", "").split(",");
        boolean told = cls < widths.length && !widths[cls].isEmpty();
        int threads = told ? Integer.parseInt(widths[cls]) : 1;
        double workMs = scenario.workMs().get(cls) * Math.exp(0.5 * gaussian());
        double memoryMb = chance(0.8) ? 4 * Math.exp(4 * random.nextDouble()) * threads : 0;
        Query query = new Query(++lastQuery, cls, threads, workMs, memoryMb);
        query.badPlan = chance(0.08) ? random.nextDouble(3, 12) : 1;
        queries.put(query.id, query);
        return query;
    }

    private String tenant() {
        int count = (int) settings.whole("parties.count", 0);
        int drawn = count == 0 ? 0 : (int) ((count + 1) * Math.pow(random.nextDouble(), 2));
        return count == 0
                ? ""
                : drawn == count
                        ? " tenant=unlisted"
                        : " tenant=" + settings.needed("parties." + drawn + ".name");
    }

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    // ---- Engines
    private void attempt(Instance instance, Fields forward) {
        Query query = queries.get(forward.whole("op-id"));
        Engine engine = engines.get(forward.needed("engine"));
        Attempt attempt = new Attempt(instance, query, engine, now);
        engine.running.add(attempt);
        attempt.lastsNs = lasts(attempt);
        in(forward.whole("timeout-ns"), () -> end(attempt, "expired"));
        if (chance(0.005)) {
            in(MS, () -> end(attempt, "unused"));
        }
        switch (engine.trouble) {
            case SILENT -> {}
            case SHEDS -> in(MS, () -> end(attempt, chance(0.8) ? "shed" : "app_error"));
            case UNREACHABLE -> in(2 * MS, () -> end(attempt, "dial_failed"));
            case RESETS -> in(attempt.lastsNs / 2.0, () -> end(attempt, "dropped"));
            case FAILS -> in(3 * MS, () -> end(attempt, "app_error"));
            default ->
                    in(
                            attempt.lastsNs,
                            () -> end(attempt, chance(0.01) ? "app_error" : "delivered"));
        }
        if (noteEveryNs > 0 && engine.trouble != Trouble.SILENT) {
            in(noteEveryNs, () -> note(attempt));
        }
    }

    private long lasts(Attempt attempt) {
        Query query = attempt.query;
        Engine engine = attempt.engine;
        double crowding = Math.max(1, threads(engine) / engine.cores);
        double slow = engine.trouble == Trouble.SLOW ? 6 : 1;
        double plan = attempt.number == 0 ? query.badPlan : 1;
        double spill = query.grantMb > 0 && query.grantMb < query.memoryMb ? 1.5 : 1;
        return (long)
                (query.workMs
                        / query.threads
                        * crowding
                        * slow
                        * plan
                        * spill
                        * Math.exp(0.2 * gaussian())
                        * MS);
    }

    private double threads(Engine engine) {
        double own = engine.running.stream().mapToInt(attempt -> attempt.query.threads).sum();
        double wave = 0.5 + 0.5 * Math.sin((double) now / SECOND / 3 + engine.index);
        return own + scenario.foreign() * wave * engine.cores;
    }

    private void callOff(Instance instance, long id, long number) {
        for (Engine engine : engines.values()) {
            for (Attempt attempt : List.copyOf(engine.running)) {
                if (attempt.instance == instance
                        && attempt.query.id == id
                        && attempt.number == number) {
                    in(MS, () -> end(attempt, "revoked"));
                }
            }
        }
    }

    private void end(Attempt attempt, String verdict) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.engine.running.remove(attempt);
        double complete =
                switch (verdict) {
                    case "delivered" -> 0.98;
                    case "app_error" -> 0.3;
                    default -> 0.02;
                };
        String pairs =
                of(attempt)
                        + " verdict="
                        + verdict
                        + " lag-ns="
                        + (now - attempt.sentNs)
                        + " complete="
                        + (chance(complete) ? 1 : 0)
                        + cost(attempt.query)
                        + (inline && chance(0.9) ? " gauge=" + gauge(attempt.engine) : "");
        tell(attempt.instance, "RESOLVED", pairs);
        if (chance(0.003)) {
            tell(attempt.instance, "RESOLVED", pairs);
        }
        if (noteEveryNs > 0 && chance(0.1)) {
            in(random.nextDouble(0, 20) * MS, () -> update(attempt, 1, 0.01));
        }
    }

    private String cost(Query query) {
        if (!settings.flag("extra.cost-in-answers") || chance(0.1)) {
            return "";
        }
        return " note=" + ((long) query.workMs * 4096 + Math.min(4095, (long) query.memoryMb / 4));
    }

    private static String of(Attempt attempt) {
        return of(attempt, attempt.number);
    }

    private static String of(Attempt attempt, int number) {
        return "op-id=" + attempt.query.id + " shot=" + number + " engine=" + attempt.engine.name;
    }

    private void note(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        Query query = attempt.query;
        double done = (now - attempt.workingFromNs) / (double) Math.max(1, attempt.lastsNs);
        if (attempt.number % 2 == 0 && done < 0.3 && chance(0.2)) {
            attempt.workingFromNs = now;
            update(attempt, 3, 1 + random.nextInt(2));
        } else if (query.memoryMb > query.grantMb && query.grantMb > 0 && !attempt.toldSpill) {
            attempt.toldSpill = true;
            update(attempt, 2, rounded(query.memoryMb - query.grantMb));
        } else {
            update(attempt, 1, chance(0.03) ? 0 : rounded(Math.min(1, done)));
        }
        in(noteEveryNs, () -> note(attempt));
    }

    private void update(Attempt attempt, int sort, double amount) {
        String pairs = " sort=" + sort + " amount=" + amount;
        tell(attempt.instance, "UPDATE_OF", of(attempt) + pairs);
        if (chance(0.01)) {
            tell(attempt.instance, "UPDATE_OF", of(attempt, attempt.number + 1) + pairs);
            tell(
                    attempt.instance,
                    "UPDATE_OF",
                    "op-id="
                            + attempt.query.id
                            + " shot="
                            + attempt.number
                            + " engine="
                            + anyEngine().name
                            + " sort=1 amount=0.01");
        }
    }

    private void pong(Instance instance, String name) {
        Engine engine = engines.get(name);
        boolean reached = engine.trouble != Trouble.UNREACHABLE;
        tell(
                instance,
                "PONG",
                "engine="
                        + name
                        + " lag-ns="
                        + MS
                        + (reached
                                ? " verdict=delivered gauge=" + gauge(engine)
                                : " verdict=dial_failed"));
    }

    /** A load report: some values noisy, some missing, some impossible. */
    private String gauge(Engine engine) {
        if (chance(0.04)) {
            return "-";
        }
        double threads = threads(engine);
        double granted =
                engine.running.stream().mapToDouble(attempt -> attempt.query.grantMb).sum();
        StringBuilder pairs = new StringBuilder();
        value(pairs, "pending", Math.max(0, threads / engine.cores - 1.5) * engine.cores / 3);
        value(pairs, "cpu_share", Math.min(1, threads / engine.cores));
        value(pairs, "x0", Math.min(1, granted / engine.memoryMb));
        value(pairs, "x1", chance(0.03) ? 0.97 : 0.3 * random.nextDouble());
        value(pairs, "busy_reqs", Math.round(threads / 1.5));
        value(pairs, "novel", 1);
        return pairs.toString();
    }

    private void value(StringBuilder pairs, String name, double value) {
        if (!chance(0.06)) {
            double noisy = value * random.nextDouble(0.9, 1.1) - (chance(0.02) ? 0.2 : 0);
            pairs.append(pairs.length() > 0 ? "," : "");
            pairs.append(name).append(':').append(rounded(noisy));
        }
    }
}
