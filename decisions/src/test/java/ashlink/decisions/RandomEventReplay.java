package ashlink.decisions;

import static ashlink.decisions.RouterHarness.CAPABILITIES;
import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Delivers a seeded stream of random events and checks every action against the invariants. */
final class RandomEventReplay {

    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final String[] ENGINES = {"a", "b", "c", "d"};
    private static final int EVENTS = 3_000;
    private static final long DEADLINE_MS = 3_000;

    private final SplittableRandom random;
    private final RouterHarness router = new RouterHarness(settings());
    private final Map<Long, StartAttempt> inFlight = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Long> deadlinesNs = new HashMap<>();
    private final Set<Long> atMostOnceQueries = new HashSet<>();
    private final Set<Long> restrictedQueries = new HashSet<>();
    private final Set<Long> mayHaveRun = new HashSet<>();
    private final Set<Long> answered = new HashSet<>();
    private final Set<String> unavailableEngines = new HashSet<>();
    private int checkedActions;

    RandomEventReplay(long seed) {
        random = new SplittableRandom(seed);
    }

    static Settings settings() {
        return RouterHarness.settings(
                2,
                CAPABILITIES,
                LIMITS,
                RouterHarness.shortClass("lookup"),
                RouterHarness.reportClass(Set.of("big"), Set.of()),
                RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true));
    }

    /** Delivers the events and returns all actions as text. */
    String run() {
        router.changeEndpoints(
                EndpointListKind.CACHED,
                RouterHarness.readyEndpoint("a"),
                RouterHarness.readyEndpoint("b"),
                RouterHarness.endpoint("c", "z1", "small", EndpointState.READY, 0));
        for (long id = 0; id < EVENTS; id++) {
            deliverRandomEvent(id);
            checkInvariants();
            expireAttempts();
            checkInvariants();
            router.advanceMs(random.nextInt(40));
            checkInvariants();
        }
        for (int i = 0; i < 100; i++) {
            router.advanceMs(50);
            checkInvariants();
            expireAttempts();
        }
        checkInvariants();
        assertEquals(deadlinesNs.keySet(), answered, "queries with a final answer");
        return router.actions.toString();
    }

    private void deliverRandomEvent(long id) {
        int kind = random.nextInt(10);
        if (kind < 4) {
            submitQuery(id);
        } else if (kind < 8 && !inFlight.isEmpty()) {
            endAttempt();
        } else if (kind == 8) {
            changeEndpoint();
        } else {
            completeHealthCheck();
        }
    }

    private void submitQuery(long id) {
        String queryClass = List.of("lookup", "report", "load").get(random.nextInt(3));
        deadlinesNs.put(id, router.nowNs + DEADLINE_MS * MS);
        if (queryClass.equals("load")) {
            atMostOnceQueries.add(id);
        } else if (queryClass.equals("report")) {
            restrictedQueries.add(id);
        }
        router.submit(
                id,
                queryClass,
                queryClass.equals("load") ? "k" + random.nextInt(3) : null,
                random.nextInt(5),
                random.nextInt(2_000),
                DEADLINE_MS);
    }

    private void endAttempt() {
        long id =
                inFlight.keySet().stream()
                        .sorted()
                        .skip(random.nextInt(inFlight.size()))
                        .findFirst()
                        .orElseThrow();
        Outcome outcome = OUTCOMES[random.nextInt(OUTCOMES.length)];
        StartAttempt attempt = inFlight.remove(id);
        if (outcome.mayHaveRun()) {
            mayHaveRun.add(id);
        }
        if (outcome == Outcome.SERVED) {
            assertTrue(answered.add(id), "query answered twice");
        }
        router.endAttempt(
                id, attempts.get(id) - 1, attempt.engine(), outcome, 1 + random.nextInt(2_000));
    }

    private void changeEndpoint() {
        String engine = ENGINES[random.nextInt(ENGINES.length)];
        EndpointState state = EndpointState.values()[random.nextInt(3)];
        if (state == EndpointState.READY) {
            unavailableEngines.remove(engine);
        } else {
            unavailableEngines.add(engine);
        }
        router.changeEndpoints(
                EndpointListKind.DELTA,
                RouterHarness.endpoint(
                        engine, "z1", engine.equals("c") ? "small" : "big", state, 0));
    }

    private void completeHealthCheck() {
        router.deliver(
                new HealthCheckCompleted(
                        ENGINES[random.nextInt(3)],
                        OUTCOMES[random.nextInt(OUTCOMES.length)],
                        MS,
                        new LoadReport(
                                random.nextInt(3), random.nextDouble(), Double.NaN, Double.NaN)));
    }

    private void expireAttempts() {
        for (long id : inFlight.keySet().stream().sorted().toList()) {
            if (router.nowNs >= deadlinesNs.get(id)) {
                mayHaveRun.add(id);
                String engine = inFlight.remove(id).engine();
                router.endAttempt(id, attempts.get(id) - 1, engine, Outcome.TIMED_OUT, DEADLINE_MS);
            }
        }
    }

    private void checkInvariants() {
        List<Action> actions = router.actions;
        for (Action action : actions.subList(checkedActions, actions.size())) {
            if (action instanceof StartAttempt attempt) {
                checkStart(attempt);
            } else if (action instanceof Reject reject) {
                assertTrue(
                        !atMostOnceQueries.contains(reject.id())
                                || !mayHaveRun.contains(reject.id()),
                        "rejected a query that may have been executed");
                assertTrue(answered.add(reject.id()), "query answered twice");
            } else if (action instanceof Fail fail) {
                assertTrue(answered.add(fail.id()), "query answered twice");
            }
        }
        checkedActions = actions.size();
    }

    private void checkStart(StartAttempt attempt) {
        long id = attempt.id();
        assertTrue(!answered.contains(id), "started after the final answer");
        assertTrue(inFlight.put(id, attempt) == null, "two attempts in flight");
        assertTrue(
                !unavailableEngines.contains(attempt.engine()),
                "started on an engine that is not ready");
        assertTrue(
                !atMostOnceQueries.contains(id) || !mayHaveRun.contains(id),
                "retried a query that must not run twice");
        assertTrue(
                !restrictedQueries.contains(id) || !attempt.engine().equals("c"),
                "started on a kind of engine that is not allowed");
        assertTrue(
                attempts.merge(id, 1, Integer::sum) <= CAPABILITIES.maxAttempts(),
                "too many attempts");
    }
}
