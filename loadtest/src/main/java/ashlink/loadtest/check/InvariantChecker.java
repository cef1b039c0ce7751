package ashlink.loadtest.check;

import ashlink.config.EngineConfig;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.emulator.Ledger.Outcome;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import ashlink.loadtest.scenario.ScenarioFacts.Span;
import ashlink.loadtest.scenario.SentQuery;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The seven rules of the brief, each by what was seen from outside. */
public final class InvariantChecker {

    private static final long MS = 1_000_000L;

    /** Two clocks of one machine, a thread that was late, a look every 10 ms at the stand-in. */
    private static final long SKEW_NS = 60 * MS;

    /** Time between two sends of a client by which the router took them in that order. */
    private static final long PLAIN_ORDER_NS = 100 * MS;

    /** Time before a drain in which the engine was in use by that router. */
    private static final long IN_USE_NS = 2_000 * MS;

    private final ScenarioFacts facts;
    private final Map<String, List<SentQuery>> byTag = new HashMap<>();

    /** A checker of a day. */
    public InvariantChecker(ScenarioFacts facts) {
        this.facts = facts;
        for (SentQuery sentQuery : facts.ledger()) {
            byTag.computeIfAbsent(sentQuery.tag(), text -> new ArrayList<>()).add(sentQuery);
        }
        byTag.values()
                .forEach(
                        list ->
                                list.sort(
                                        Comparator.comparingLong(
                                                sentQuery -> sentQuery.beganNs())));
    }

    /** A verdict for each rule, in the order of the brief. */
    public List<Verdict> verdicts() {
        return List.of(
                oneAnswer(),
                noEffectTwice(),
                drainsKept(),
                coldEngines(),
                order(),
                placement(),
                budget());
    }

    private QueryClass cls(ClientAttempt clientAttempt) {
        return facts.settings().queryClasses().get(clientAttempt.queryClass());
    }

    private boolean routerDied(ClientAttempt clientAttempt) {
        return facts.routerKills().stream()
                .anyMatch(
                        span ->
                                span.name().equals(clientAttempt.router())
                                        && span.touches(
                                                clientAttempt.sentNs(),
                                                clientAttempt.reply().endNs()));
    }

    // ---- 1
    /**
     * At stake where not all went well at once: another attempt, no plain success, or a router
     * under way to its end.
     */
    private Verdict oneAnswer() {
        List<String> broken = new ArrayList<>();
        int stake = 0;
        for (ClientAttempt clientAttempt : facts.tries()) {
            if (!clientAttempt.sent() || routerDied(clientAttempt)) {
                continue;
            }
            boolean plain =
                    clientAttempt.reply().kind() == Reply.Kind.SERVED
                            && byTag.getOrDefault(clientAttempt.tag(), List.of()).size() == 1;
            stake += plain ? 0 : 1;
            if (!clientAttempt.reply().isFinal()) {
                broken.add(
                        clientAttempt.tag()
                                + " "
                                + clientAttempt.queryClass()
                                + " at "
                                + clientAttempt.router()
                                + ": "
                                + clientAttempt.reply().kind()
                                + " "
                                + clientAttempt.reply().message()
                                + " after "
                                + (clientAttempt.reply().endNs() - clientAttempt.sentNs()) / MS
                                + " of "
                                + (clientAttempt.deadlineNs() - clientAttempt.sentNs()) / MS
                                + " ms");
            } else if (clientAttempt.stray()) {
                broken.add(clientAttempt.tag() + ": something followed its final answer");
            }
        }
        return new Verdict("1 one final answer in time", stake, broken);
    }

    // ---- 2
    /**
     * At stake where an attempt at an unsafe statement did not end in an answer, or a query had two
     * attempts.
     */
    private Verdict noEffectTwice() {
        List<String> broken = new ArrayList<>();
        int stake = 0;
        Map<Long, Integer> ran = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.tries()) {
            List<SentQuery> entries = byTag.getOrDefault(clientAttempt.tag(), List.of());
            boolean unsafe = cls(clientAttempt).retrySafety() == RetrySafety.AT_MOST_ONCE;
            long runs =
                    entries.stream()
                            .filter(
                                    sentQuery ->
                                            sentQuery.ranNs() > 0
                                                    && sentQuery.how() != Outcome.TURNED_AWAY)
                            .count();
            if (unsafe) {
                stake +=
                        entries.stream().anyMatch(sentQuery -> sentQuery.how() != Outcome.ANSWERED)
                                        || clientAttempt.reply().kind() != Reply.Kind.SERVED
                                ? 1
                                : 0;
                if (ran.merge(clientAttempt.request(), (int) runs, Integer::sum) > 1) {
                    broken.add(
                            clientAttempt.tag()
                                    + " "
                                    + clientAttempt.queryClass()
                                    + " ran "
                                    + ran.get(clientAttempt.request())
                                    + " times");
                }
                if (clientAttempt.isRefused() && runs > 0) {
                    broken.add(clientAttempt.tag() + " was refused as harmless, and ran");
                }
            }
            for (int i = 1; i < entries.size(); i++) {
                stake++;
                if (entries.get(i).beganNs() + SKEW_NS < entries.get(i - 1).outUntilNs()) {
                    broken.add(
                            clientAttempt.tag()
                                    + " had an attempt at "
                                    + entries.get(i).engine()
                                    + " while one was out at "
                                    + entries.get(i - 1).engine());
                }
            }
        }
        return new Verdict("2 no effect twice", stake, broken);
    }

    // ---- 3
    private Verdict drainsKept() {
        List<String> broken = new ArrayList<>();
        int stake = 0;
        long grace = facts.settings().policyLimits().drainGraceNs();
        for (Drain drain : facts.drains()) {
            boolean used = false;
            for (SentQuery sentQuery : facts.ledger()) {
                if (sentQuery.engine().equals(drain.engine())
                        && sentQuery.router().equals(drain.router())) {
                    used |=
                            sentQuery.beganNs() > drain.toldNs() - IN_USE_NS
                                    && sentQuery.beganNs() < drain.toldNs();
                    if (sentQuery.beganNs() > drain.toldNs() + grace
                            && sentQuery.beganNs() < drain.untilNs()) {
                        broken.add(
                                sentQuery.tag()
                                        + " began at "
                                        + sentQuery.engine()
                                        + " "
                                        + (sentQuery.beganNs() - drain.toldNs()) / MS
                                        + " ms after "
                                        + drain.router()
                                        + " was told of its drain");
                    }
                }
            }
            stake += used ? 1 : 0;
        }
        return new Verdict("3 drains kept", stake, broken);
    }

    // ---- 4
    /**
     * What all routers together sent in any window stays under the multiple of what the engine
     * could do then.
     */
    private Verdict coldEngines() {
        List<String> broken =
                new ArrayList<>(facts.fallen().stream().map(text -> text + " fell over").toList());
        int stake = 0;
        var limits = facts.settings().policyLimits();
        for (Span down : facts.engineDowns()) {
            EngineConfig engineConfig = facts.day().engines().get(down.name());
            List<SentQuery> sent =
                    facts.ledger().stream()
                            .filter(
                                    sentQuery ->
                                            sentQuery.engine().equals(down.name())
                                                    && sentQuery.beganNs() >= down.untilNs()
                                                    && sentQuery.beganNs()
                                                            < down.untilNs() + limits.slowStartNs())
                            .sorted(Comparator.comparingLong(sentQuery -> sentQuery.beganNs()))
                            .toList();
            stake += sent.size();
            double windowMs = limits.slowStartWindowNs() / (double) MS;
            for (SentQuery last : sent) {
                double work =
                        sent.stream()
                                .filter(
                                        sentQuery ->
                                                sentQuery.beganNs() <= last.beganNs()
                                                        && sentQuery.beganNs()
                                                                > last.beganNs()
                                                                        - limits
                                                                                .slowStartWindowNs())
                                .mapToDouble(sentQuery -> sentQuery.workMs())
                                .sum();
                double warm =
                        Math.min(
                                1,
                                (last.beganNs() - down.untilNs())
                                        / (double) engineConfig.slowStartNs());
                double can =
                        engineConfig.cores()
                                * engineConfig.speed()
                                * (engineConfig.slowStartFraction()
                                        + (1 - engineConfig.slowStartFraction()) * warm);
                if (work > limits.slowStartOverloadFactor() * can * windowMs) {
                    broken.add(
                            last.tag()
                                    + ": "
                                    + Math.round(work)
                                    + " ms of work in a window at "
                                    + down.name()
                                    + ", which can do "
                                    + Math.round(can * windowMs));
                }
            }
        }
        return new Verdict("4 no cold engine pushed over", stake, broken);
    }

    // ---- 5
    /** At stake where a client sent a query of a key before another of that key had its answer. */
    private Verdict order() {
        List<String> broken = new ArrayList<>();
        int stake = 0;
        Map<String, List<ClientAttempt>> lines = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.tries()) {
            if (clientAttempt.key() != null
                    && cls(clientAttempt).ordered()
                    && clientAttempt.sent()) {
                lines.computeIfAbsent(
                                clientAttempt.router() + " " + clientAttempt.key(),
                                text -> new ArrayList<>())
                        .add(clientAttempt);
            }
        }
        for (List<ClientAttempt> line : lines.values()) {
            line.sort(Comparator.comparingLong(ClientAttempt::sentNs));
            for (int i = 0; i < line.size(); i++) {
                for (int j = i + 1;
                        j < line.size() && line.get(j).sentNs() < line.get(i).reply().endNs();
                        j++) {
                    if (!routerDied(line.get(i)) && !routerDied(line.get(j))) {
                        stake++;
                        compare(line.get(i), line.get(j), broken);
                    }
                }
            }
        }
        return new Verdict("5 order kept", stake, broken);
    }

    private void compare(ClientAttempt first, ClientAttempt second, List<String> broken) {
        for (SentQuery a : byTag.getOrDefault(first.tag(), List.of())) {
            for (SentQuery b : byTag.getOrDefault(second.tag(), List.of())) {
                if (a.beganNs() <= b.beganNs()
                        ? b.beganNs() + SKEW_NS < a.outUntilNs()
                        : a.beganNs() + SKEW_NS < b.outUntilNs()) {
                    broken.add(
                            first.tag()
                                    + " and "
                                    + second.tag()
                                    + " of key "
                                    + first.key()
                                    + " were out together");
                } else if (b.beganNs() < a.beganNs()
                        && second.sentNs() - first.sentNs() > PLAIN_ORDER_NS) {
                    broken.add(
                            second.tag()
                                    + " of key "
                                    + first.key()
                                    + " went before "
                                    + first.tag());
                }
            }
        }
    }

    // ---- 6
    /**
     * At stake in each attempt at a bound class while an engine that it may go to was sick or down.
     */
    private Verdict placement() {
        List<String> broken = new ArrayList<>();
        int stake = 0;
        for (ClientAttempt clientAttempt : facts.tries()) {
            QueryClass queryClass = cls(clientAttempt);
            if (queryClass.engineKinds().isEmpty() && queryClass.zones().isEmpty()) {
                continue;
            }
            for (SentQuery sentQuery : byTag.getOrDefault(clientAttempt.tag(), List.of())) {
                boolean pressed =
                        facts.sick().stream()
                                        .anyMatch(
                                                span ->
                                                        span.touches(
                                                                        sentQuery.beganNs(),
                                                                        sentQuery.beganNs())
                                                                && queryClass
                                                                        .engineKinds()
                                                                        .contains(
                                                                                facts.day()
                                                                                        .engines()
                                                                                        .get(
                                                                                                span
                                                                                                        .name())
                                                                                        .kind()))
                                || facts.engineDowns().stream()
                                        .anyMatch(
                                                span ->
                                                        span.touches(
                                                                sentQuery.beganNs(),
                                                                sentQuery.beganNs()));
                stake += pressed ? 1 : 0;
                if (!queryClass.engineKinds().isEmpty()
                                && !queryClass.engineKinds().contains(sentQuery.kind())
                        || !queryClass.zones().isEmpty()
                                && !queryClass.zones().contains(sentQuery.zone())) {
                    broken.add(
                            clientAttempt.tag()
                                    + " "
                                    + clientAttempt.queryClass()
                                    + " went to "
                                    + sentQuery.engine()
                                    + " of kind "
                                    + sentQuery.kind());
                }
            }
        }
        return new Verdict("6 placement kept", stake, broken);
    }

    // ---- 7
    /**
     * In any window further attempts stay within the budget of the router, and those of a query
     * within their number.
     */
    private Verdict budget() {
        List<String> broken = new ArrayList<>();
        int stake = 0;
        var limits = facts.settings().policyLimits();
        Map<String, List<Long>> further = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.tries()) {
            List<SentQuery> entries = byTag.getOrDefault(clientAttempt.tag(), List.of());
            if (entries.size() > facts.settings().capabilities().maxAttempts()) {
                broken.add(clientAttempt.tag() + " had " + entries.size() + " attempts");
            }
            for (SentQuery sentQuery :
                    entries.subList(Math.min(1, entries.size()), entries.size())) {
                stake++;
                further.computeIfAbsent(sentQuery.router(), text -> new ArrayList<>())
                        .add(sentQuery.beganNs());
            }
        }
        if (limits.retryBudgetWindowNs() > 0) {
            further.forEach(
                    (router, times) -> {
                        List<Long> taken =
                                facts.tries().stream()
                                        .filter(
                                                clientAttempt ->
                                                        clientAttempt.router().equals(router)
                                                                && clientAttempt.sent())
                                        .map(ClientAttempt::sentNs)
                                        .toList();
                        for (long last : times) {
                            long from = last - limits.retryBudgetWindowNs();
                            long used = times.stream().filter(x -> x > from && x <= last).count();
                            long had =
                                    taken.stream()
                                            .filter(x -> x > from - SKEW_NS && x <= last)
                                            .count();
                            if (used > limits.freeRetries() + limits.retriesPerQuery() * had) {
                                broken.add(
                                        router
                                                + " made "
                                                + used
                                                + " further attempts in a window with "
                                                + had
                                                + " requests");
                            }
                        }
                    });
        }
        return new Verdict("7 attempts within budget", stake, broken);
    }
}
