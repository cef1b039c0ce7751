package ashlink.loadtest.check;

import ashlink.config.EngineConfig;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.emulator.Ledger.How;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import ashlink.loadtest.scenario.ScenarioFacts.Interval;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the seven invariants of the workload manager against what clients and engines recorded in
 * a scenario.
 */
public final class InvariantChecker {

    private static final long NS_PER_MS = 1_000_000L;

    /**
     * Tolerance between the times recorded by clients, routers and engines: threads are scheduled
     * late, and an emulated engine checks its connections only every 10 ms.
     */
    private static final long CLOCK_TOLERANCE_NS = 60 * NS_PER_MS;

    /** Time between two sends of a client after which the router receives them in that order. */
    private static final long CERTAIN_ORDER_NS = 100 * NS_PER_MS;

    /** Time before a drain in which a query makes the engine count as used by the router. */
    private static final long ENGINE_USE_WINDOW_NS = 2_000 * NS_PER_MS;

    private final ScenarioFacts facts;
    private final Map<String, List<EngineQuery>> engineQueriesByTag = new HashMap<>();

    /** Creates a checker for the records of a scenario. */
    public InvariantChecker(ScenarioFacts facts) {
        this.facts = facts;
        for (EngineQuery engineQuery : facts.engineQueries()) {
            engineQueriesByTag
                    .computeIfAbsent(engineQuery.tag(), key -> new ArrayList<>())
                    .add(engineQuery);
        }
        engineQueriesByTag
                .values()
                .forEach(
                        queries ->
                                queries.sort(
                                        Comparator.comparingLong(
                                                engineQuery -> engineQuery.receivedNs())));
    }

    /** Returns a verdict for each invariant, numbered from 1 to 7. */
    public List<Verdict> verdicts() {
        return List.of(
                singleFinalAnswer(),
                noDuplicateEffects(),
                drain(),
                slowStart(),
                keyOrdering(),
                placement(),
                retryBudget());
    }

    private QueryClass queryClass(ClientAttempt clientAttempt) {
        return facts.settings().queryClasses().get(clientAttempt.queryClass());
    }

    private boolean routerCrashed(ClientAttempt clientAttempt) {
        return facts.routerOutages().stream()
                .anyMatch(
                        interval ->
                                interval.name().equals(clientAttempt.router())
                                        && interval.overlaps(
                                                clientAttempt.sentNs(),
                                                clientAttempt.reply().endNs()));
    }

    // ---- 1. Single final answer
    /**
     * Counts the cases that were not served by a single attempt. Attempts at a router that crashed
     * meanwhile are exempt.
     */
    private Verdict singleFinalAnswer() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            if (!clientAttempt.sent() || routerCrashed(clientAttempt)) {
                continue;
            }
            boolean servedBySingleAttempt =
                    clientAttempt.reply().kind() == Reply.Kind.SERVED
                            && engineQueriesByTag
                                            .getOrDefault(clientAttempt.tag(), List.of())
                                            .size()
                                    == 1;
            exercisedCases += servedBySingleAttempt ? 0 : 1;
            if (!clientAttempt.reply().isFinal()) {
                violations.add(
                        clientAttempt.tag()
                                + " "
                                + clientAttempt.queryClass()
                                + " on "
                                + clientAttempt.router()
                                + ": "
                                + clientAttempt.reply().kind()
                                + " "
                                + clientAttempt.reply().message()
                                + " after "
                                + (clientAttempt.reply().endNs() - clientAttempt.sentNs())
                                        / NS_PER_MS
                                + " of "
                                + (clientAttempt.deadlineNs() - clientAttempt.sentNs()) / NS_PER_MS
                                + " ms");
            } else if (clientAttempt.hasDataAfterReply()) {
                violations.add(clientAttempt.tag() + ": data received after the final answer");
            }
        }
        return new Verdict("1 single final answer", exercisedCases, violations);
    }

    // ---- 2. No duplicate effects
    /**
     * Counts the attempts of statements that are not safe to repeat and that ended without an
     * answer, and the further attempts of all queries.
     */
    private Verdict noDuplicateEffects() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        Map<Long, Integer> executionsByRequest = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            List<EngineQuery> engineQueries =
                    engineQueriesByTag.getOrDefault(clientAttempt.tag(), List.of());
            boolean atMostOnce =
                    queryClass(clientAttempt).retrySafety() == RetrySafety.AT_MOST_ONCE;
            long executions =
                    engineQueries.stream()
                            .filter(
                                    engineQuery ->
                                            engineQuery.executableNs() > 0
                                                    && engineQuery.outcome() != How.TURNED_AWAY)
                            .count();
            if (atMostOnce) {
                exercisedCases +=
                        engineQueries.stream()
                                                .anyMatch(
                                                        engineQuery ->
                                                                engineQuery.outcome()
                                                                        != How.ANSWERED)
                                        || clientAttempt.reply().kind() != Reply.Kind.SERVED
                                ? 1
                                : 0;
                if (executionsByRequest.merge(
                                clientAttempt.request(), (int) executions, Integer::sum)
                        > 1) {
                    violations.add(
                            clientAttempt.tag()
                                    + " "
                                    + clientAttempt.queryClass()
                                    + " was executed "
                                    + executionsByRequest.get(clientAttempt.request())
                                    + " times");
                }
                if (clientAttempt.isRejected() && executions > 0) {
                    violations.add(
                            clientAttempt.tag()
                                    + " was rejected as safe to retry but had been executed");
                }
            }
            for (int i = 1; i < engineQueries.size(); i++) {
                exercisedCases++;
                if (engineQueries.get(i).receivedNs() + CLOCK_TOLERANCE_NS
                        < engineQueries.get(i - 1).finishedNs()) {
                    violations.add(
                            clientAttempt.tag()
                                    + " had an attempt on "
                                    + engineQueries.get(i).engine()
                                    + " while another attempt was open on "
                                    + engineQueries.get(i - 1).engine());
                }
            }
        }
        return new Verdict("2 no duplicate effects", exercisedCases, violations);
    }

    // ---- 3. Drain
    /** Counts the drains of engines that the router used shortly before. */
    private Verdict drain() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        long graceNs = facts.settings().policyLimits().drainGraceNs();
        for (Drain drain : facts.drains()) {
            boolean usedBefore = false;
            for (EngineQuery engineQuery : facts.engineQueries()) {
                if (engineQuery.engine().equals(drain.engine())
                        && engineQuery.router().equals(drain.router())) {
                    usedBefore |=
                            engineQuery.receivedNs() > drain.announcedNs() - ENGINE_USE_WINDOW_NS
                                    && engineQuery.receivedNs() < drain.announcedNs();
                    if (engineQuery.receivedNs() > drain.announcedNs() + graceNs
                            && engineQuery.receivedNs() < drain.endNs()) {
                        violations.add(
                                engineQuery.tag()
                                        + " started on "
                                        + engineQuery.engine()
                                        + " "
                                        + (engineQuery.receivedNs() - drain.announcedNs())
                                                / NS_PER_MS
                                        + " ms after "
                                        + drain.router()
                                        + " was notified of the drain");
                    }
                }
            }
            exercisedCases += usedBefore ? 1 : 0;
        }
        return new Verdict("3 drain", exercisedCases, violations);
    }

    // ---- 4. Slow start
    /**
     * The work that all routers together send to a warming engine in any window stays below a
     * multiple of the engine's capacity at that time. Counts the queries that warming engines
     * received.
     */
    private Verdict slowStart() {
        List<String> violations =
                new ArrayList<>(
                        facts.overloadedEngines().stream()
                                .map(engine -> engine + " crashed by overload during slow start")
                                .toList());
        int exercisedCases = 0;
        var limits = facts.settings().policyLimits();
        for (Interval down : facts.engineOutages()) {
            EngineConfig engineConfig = facts.scenario().engines().get(down.name());
            List<EngineQuery> sent =
                    facts.engineQueries().stream()
                            .filter(
                                    engineQuery ->
                                            engineQuery.engine().equals(down.name())
                                                    && engineQuery.receivedNs() >= down.endNs()
                                                    && engineQuery.receivedNs()
                                                            < down.endNs() + limits.slowStartNs())
                            .sorted(
                                    Comparator.comparingLong(
                                            engineQuery -> engineQuery.receivedNs()))
                            .toList();
            exercisedCases += sent.size();
            double windowMs = limits.slowStartWindowNs() / (double) NS_PER_MS;
            for (EngineQuery last : sent) {
                double workMs =
                        sent.stream()
                                .filter(
                                        engineQuery ->
                                                engineQuery.receivedNs() <= last.receivedNs()
                                                        && engineQuery.receivedNs()
                                                                > last.receivedNs()
                                                                        - limits
                                                                                .slowStartWindowNs())
                                .mapToDouble(engineQuery -> engineQuery.workMs())
                                .sum();
                double warmFraction =
                        Math.min(
                                1,
                                (last.receivedNs() - down.endNs())
                                        / (double) engineConfig.slowStartNs());
                double capacityCores =
                        engineConfig.cores()
                                * engineConfig.speed()
                                * (engineConfig.slowStartFraction()
                                        + (1 - engineConfig.slowStartFraction()) * warmFraction);
                if (workMs > limits.slowStartOverloadFactor() * capacityCores * windowMs) {
                    violations.add(
                            last.tag()
                                    + ": "
                                    + Math.round(workMs)
                                    + " ms of work sent in one window to "
                                    + down.name()
                                    + ", whose capacity was "
                                    + Math.round(capacityCores * windowMs)
                                    + " ms");
                }
            }
        }
        return new Verdict("4 slow start", exercisedCases, violations);
    }

    // ---- 5. Key ordering
    /** Counts the pairs of queries with the same key that were open at the same time. */
    private Verdict keyOrdering() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        Map<String, List<ClientAttempt>> attemptsByKey = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            if (clientAttempt.key() != null
                    && queryClass(clientAttempt).ordered()
                    && clientAttempt.sent()) {
                attemptsByKey
                        .computeIfAbsent(
                                clientAttempt.router() + " " + clientAttempt.key(),
                                key -> new ArrayList<>())
                        .add(clientAttempt);
            }
        }
        for (List<ClientAttempt> attempts : attemptsByKey.values()) {
            attempts.sort(Comparator.comparingLong(ClientAttempt::sentNs));
            for (int i = 0; i < attempts.size(); i++) {
                for (int j = i + 1;
                        j < attempts.size()
                                && attempts.get(j).sentNs() < attempts.get(i).reply().endNs();
                        j++) {
                    if (!routerCrashed(attempts.get(i)) && !routerCrashed(attempts.get(j))) {
                        exercisedCases++;
                        checkOrder(attempts.get(i), attempts.get(j), violations);
                    }
                }
            }
        }
        return new Verdict("5 key ordering", exercisedCases, violations);
    }

    private void checkOrder(ClientAttempt first, ClientAttempt second, List<String> violations) {
        for (EngineQuery firstQuery : engineQueriesByTag.getOrDefault(first.tag(), List.of())) {
            for (EngineQuery secondQuery :
                    engineQueriesByTag.getOrDefault(second.tag(), List.of())) {
                if (firstQuery.receivedNs() <= secondQuery.receivedNs()
                        ? secondQuery.receivedNs() + CLOCK_TOLERANCE_NS < firstQuery.finishedNs()
                        : firstQuery.receivedNs() + CLOCK_TOLERANCE_NS < secondQuery.finishedNs()) {
                    violations.add(
                            first.tag()
                                    + " and "
                                    + second.tag()
                                    + " of key "
                                    + first.key()
                                    + " were open at the same time");
                } else if (secondQuery.receivedNs() < firstQuery.receivedNs()
                        && second.sentNs() - first.sentNs() > CERTAIN_ORDER_NS) {
                    violations.add(
                            second.tag()
                                    + " of key "
                                    + first.key()
                                    + " started before "
                                    + first.tag());
                }
            }
        }
    }

    // ---- 6. Placement
    /**
     * Counts the attempts of classes with a placement restriction that started while an allowed
     * engine had a fault or any engine was down.
     */
    private Verdict placement() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            QueryClass queryClass = queryClass(clientAttempt);
            if (queryClass.engineKinds().isEmpty() && queryClass.zones().isEmpty()) {
                continue;
            }
            for (EngineQuery engineQuery :
                    engineQueriesByTag.getOrDefault(clientAttempt.tag(), List.of())) {
                boolean underFault =
                        facts.engineFaults().stream()
                                        .anyMatch(
                                                interval ->
                                                        interval.overlaps(
                                                                        engineQuery.receivedNs(),
                                                                        engineQuery.receivedNs())
                                                                && queryClass
                                                                        .engineKinds()
                                                                        .contains(
                                                                                facts.scenario()
                                                                                        .engines()
                                                                                        .get(
                                                                                                interval
                                                                                                        .name())
                                                                                        .kind()))
                                || facts.engineOutages().stream()
                                        .anyMatch(
                                                interval ->
                                                        interval.overlaps(
                                                                engineQuery.receivedNs(),
                                                                engineQuery.receivedNs()));
                exercisedCases += underFault ? 1 : 0;
                if (!queryClass.engineKinds().isEmpty()
                                && !queryClass.engineKinds().contains(engineQuery.kind())
                        || !queryClass.zones().isEmpty()
                                && !queryClass.zones().contains(engineQuery.zone())) {
                    violations.add(
                            clientAttempt.tag()
                                    + " "
                                    + clientAttempt.queryClass()
                                    + " was sent to "
                                    + engineQuery.engine()
                                    + " of kind "
                                    + engineQuery.kind());
                }
            }
        }
        return new Verdict("6 placement", exercisedCases, violations);
    }

    // ---- 7. Retry budget
    /**
     * The retries of a router stay within its budget in any window, and the attempts of a query
     * within their maximum. Counts the retries.
     */
    private Verdict retryBudget() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        var limits = facts.settings().policyLimits();
        Map<String, List<Long>> retriesByRouter = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            List<EngineQuery> engineQueries =
                    engineQueriesByTag.getOrDefault(clientAttempt.tag(), List.of());
            if (engineQueries.size() > facts.settings().capabilities().maxAttempts()) {
                violations.add(clientAttempt.tag() + " had " + engineQueries.size() + " attempts");
            }
            for (EngineQuery engineQuery :
                    engineQueries.subList(
                            Math.min(1, engineQueries.size()), engineQueries.size())) {
                exercisedCases++;
                retriesByRouter
                        .computeIfAbsent(engineQuery.router(), key -> new ArrayList<>())
                        .add(engineQuery.receivedNs());
            }
        }
        if (limits.retryBudgetWindowNs() > 0) {
            retriesByRouter.forEach(
                    (router, retryTimesNs) -> {
                        List<Long> requestTimesNs =
                                facts.clientAttempts().stream()
                                        .filter(
                                                clientAttempt ->
                                                        clientAttempt.router().equals(router)
                                                                && clientAttempt.sent())
                                        .map(ClientAttempt::sentNs)
                                        .toList();
                        for (long lastNs : retryTimesNs) {
                            long fromNs = lastNs - limits.retryBudgetWindowNs();
                            long retries =
                                    retryTimesNs.stream()
                                            .filter(timeNs -> timeNs > fromNs && timeNs <= lastNs)
                                            .count();
                            long requests =
                                    requestTimesNs.stream()
                                            .filter(
                                                    timeNs ->
                                                            timeNs > fromNs - CLOCK_TOLERANCE_NS
                                                                    && timeNs <= lastNs)
                                            .count();
                            if (retries
                                    > limits.freeRetries() + limits.retriesPerQuery() * requests) {
                                violations.add(
                                        router
                                                + " made "
                                                + retries
                                                + " retries in a window with "
                                                + requests
                                                + " requests");
                            }
                        }
                    });
        }
        return new Verdict("7 retry budget", exercisedCases, violations);
    }
}
