package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.config.RouterConfig;
import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfigReader;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import ashlink.emulator.Ledger.Outcome;
import ashlink.loadtest.check.InvariantChecker;
import ashlink.loadtest.check.ServiceLevel;
import ashlink.loadtest.check.Verdict;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import ashlink.loadtest.scenario.ScenarioFacts.Interval;
import ashlink.loadtest.scenario.ScenarioRunner;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Violates each invariant on purpose and expects the checker to report the violation. An invariant
 * that was not exercised does not count as satisfied.
 */
class InvariantCheckerTest {

    private static final long NS_PER_MS = 1_000_000L;
    private static final long START_NS = 1_000_000 * NS_PER_MS;
    private final List<ClientAttempt> clientAttempts = new ArrayList<>();
    private final List<EngineQuery> engineQueries = new ArrayList<>();
    private final List<Drain> drains = new ArrayList<>();
    private final List<Interval> routerOutages = new ArrayList<>();
    private final List<Interval> engineOutages = new ArrayList<>();
    private final List<Interval> engineFaults = new ArrayList<>();
    private final List<String> overloadedEngines = new ArrayList<>();

    private void recordClientAttempt(
            String tag,
            String queryClass,
            String key,
            long sentMs,
            long endMs,
            Reply.Kind kind,
            int code) {
        clientAttempts.add(
                new ClientAttempt(
                        Long.parseLong(tag.substring(0, tag.indexOf('.'))),
                        tag,
                        0,
                        queryClass,
                        key,
                        "r1",
                        80,
                        1,
                        START_NS + sentMs * NS_PER_MS,
                        START_NS + sentMs * NS_PER_MS,
                        START_NS + (sentMs + 2000) * NS_PER_MS,
                        true,
                        new Reply(kind, code, "", 0, 0, START_NS + endMs * NS_PER_MS),
                        false,
                        "native"));
    }

    private void recordEngineQuery(
            String tag, String engine, long receivedMs, long finishedMs, Outcome outcome) {
        boolean executable = outcome != Outcome.NO_DATA && outcome != Outcome.TURNED_AWAY;
        engineQueries.add(
                new EngineQuery(
                        engine,
                        engine.startsWith("a") ? "typ-a" : "typ-b",
                        "halle-1",
                        "r1",
                        tag,
                        80,
                        START_NS + receivedMs * NS_PER_MS,
                        executable ? START_NS + receivedMs * NS_PER_MS : 0,
                        START_NS + finishedMs * NS_PER_MS,
                        outcome));
    }

    private Verdict verdict(int invariant) throws Exception {
        ScenarioConfig scenario =
                ScenarioConfigReader.read(
                        "day.sexp",
                        """
                        (day (name d) (duration 20s) (rate 10/s) (router r1 (zone halle-1))
                          (engine a1 (zone halle-1) (kind typ-a) (cold-time 14s)) (engine b1 (zone halle-1) (kind typ-b) (cold-time 14s))
                          (load abfrage (share 1) (work 80ms) (timeout 2s)))\
                        """);
        RouterConfig settings =
                TestSettings.of(
                        "r1",
                        "halle-1",
                        0,
                        1,
                        1,
                        0,
                        List.of(),
                        "(limits (drain-grace 2s) (cold-from 0.35) (cold-time 14s) (cold-multiple"
                                + " 2.5) (cold-window 3s) (free-resends 1) (resends-per-request 0)"
                                + " (resend-span 10s))");
        return new InvariantChecker(
                        new ScenarioFacts(
                                scenario,
                                settings,
                                START_NS,
                                clientAttempts,
                                engineQueries,
                                drains,
                                routerOutages,
                                engineOutages,
                                engineFaults,
                                overloadedEngines))
                .verdicts()
                .get(invariant - 1);
    }

    private void assertVerdict(int invariant, int exercisedCases, int violations) throws Exception {
        Verdict verdict = verdict(invariant);
        assertEquals(exercisedCases, verdict.exercisedCases(), verdict.toString());
        assertEquals(violations, verdict.violations().size(), verdict.toString());
        assertEquals(exercisedCases > 0 && violations == 0, verdict.isSatisfied());
    }

    @Test
    void uneventfulScenarioExercisesNoInvariant() throws Exception {
        recordClientAttempt("1.0", "abfrage", null, 0, 100, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 90, Outcome.ANSWERED);
        for (int invariant = 1; invariant <= 7; invariant++) {
            assertVerdict(invariant, 0, 0);
        }
    }

    @Test
    void missingAnswerIsAViolationUnlessTheRouterCrashed() throws Exception {
        recordClientAttempt("1.0", "abfrage", null, 0, 100, Reply.Kind.EXCEPTION, 202);
        recordClientAttempt("2.0", "abfrage", null, 0, 2000, Reply.Kind.TIMED_OUT, 0);
        recordClientAttempt("3.0", "abfrage", null, 0, 50, Reply.Kind.LOST, 0);
        assertVerdict(1, 3, 2);
        routerOutages.add(new Interval("r1", START_NS + 20 * NS_PER_MS, START_NS + 30 * NS_PER_MS));
        assertVerdict(1, 0, 0);
    }

    @Test
    void secondExecutionOfAWriteAndRejectionOfAnExecutedOneAreViolations() throws Exception {
        recordClientAttempt("1.0", "ladung", "k", 0, 900, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 100, Outcome.CRASHED);
        recordEngineQuery("1.0", "b1", 300, 800, Outcome.ANSWERED);
        recordClientAttempt("2.0", "ladung", "k2", 0, 900, Reply.Kind.EXCEPTION, 202);
        recordEngineQuery("2.0", "a1", 10, 100, Outcome.ANSWER_LOST);
        assertVerdict(2, 3, 2);
    }

    @Test
    void insertWithoutItsDataMayBeRetried() throws Exception {
        recordClientAttempt("1.0", "ladung", "k", 0, 900, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 100, Outcome.NO_DATA);
        recordEngineQuery("1.0", "b1", 300, 800, Outcome.ANSWERED);
        assertVerdict(2, 2, 0);
    }

    @Test
    void concurrentAttemptsOfAQueryAreAViolation() throws Exception {
        recordClientAttempt("1.0", "abfrage", null, 0, 900, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 700, Outcome.ANSWERED);
        recordEngineQuery("1.0", "b1", 300, 800, Outcome.ANSWERED);
        assertVerdict(2, 1, 1);
    }

    @Test
    void queryAfterTheDrainGracePeriodIsAViolation() throws Exception {
        recordEngineQuery("1.0", "a1", 10, 100, Outcome.ANSWERED);
        drains.add(new Drain("r1", "a1", START_NS + 500 * NS_PER_MS, START_NS + 9000 * NS_PER_MS));
        recordEngineQuery("2.0", "a1", 2400, 2500, Outcome.ANSWERED);
        assertVerdict(3, 1, 0);
        recordEngineQuery("3.0", "a1", 2600, 2700, Outcome.ANSWERED);
        assertVerdict(3, 1, 1);
    }

    @Test
    void overloadedWarmingEngineIsAViolation() throws Exception {
        engineOutages.add(new Interval("a1", START_NS, START_NS + 1000 * NS_PER_MS));
        for (int i = 0; i < 300; i++) {
            recordEngineQuery(
                    i + ".0",
                    "a1",
                    1100 + i,
                    1200 + i,
                    Outcome.ANSWERED); // 24 s of work in 0.3 s; the limit is about 21 to 22 s
        }
        Verdict verdict = verdict(4);
        assertEquals(300, verdict.exercisedCases());
        assertTrue(
                verdict.violations().size() > 10 && verdict.violations().size() < 60,
                verdict.violations().size() + " broken");
        overloadedEngines.add("a1");
        assertEquals(verdict.violations().size() + 1, verdict(4).violations().size());
    }

    @Test
    void changedOrderAndOverlapOfQueriesWithOneKeyAreViolations() throws Exception {
        recordClientAttempt("1.0", "ladung", "k", 0, 1900, Reply.Kind.SERVED, 0);
        recordClientAttempt("2.0", "ladung", "k", 200, 1900, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 600, Outcome.ANSWERED);
        recordEngineQuery("2.0", "b1", 700, 1000, Outcome.ANSWERED);
        assertVerdict(5, 1, 0);
        engineQueries.clear();
        recordEngineQuery("1.0", "a1", 10, 600, Outcome.ANSWERED);
        recordEngineQuery("2.0", "b1", 300, 1000, Outcome.ANSWERED);
        assertVerdict(5, 1, 1);
        engineQueries.clear();
        recordEngineQuery("2.0", "b1", 300, 700, Outcome.ANSWERED);
        recordEngineQuery("1.0", "a1", 800, 1000, Outcome.ANSWERED);
        assertVerdict(5, 1, 1);
    }

    @Test
    void queryOnADisallowedEngineKindIsAViolation() throws Exception {
        engineFaults.add(new Interval("a1", START_NS, START_NS + 1000 * NS_PER_MS));
        recordClientAttempt("1.0", "bericht", null, 0, 100, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 90, Outcome.ANSWERED);
        assertVerdict(6, 1, 0);
        recordClientAttempt("2.0", "bericht", null, 0, 100, Reply.Kind.SERVED, 0);
        recordEngineQuery("2.0", "b1", 10, 90, Outcome.ANSWERED);
        assertVerdict(6, 2, 1);
    }

    @Test
    void retriesOverTheBudgetAreAViolation() throws Exception {
        recordClientAttempt("1.0", "abfrage", null, 0, 900, Reply.Kind.SERVED, 0);
        recordEngineQuery("1.0", "a1", 10, 100, Outcome.CRASHED);
        recordEngineQuery("1.0", "b1", 300, 800, Outcome.ANSWERED);
        assertVerdict(7, 1, 0);
        recordEngineQuery("1.0", "a1", 900, 1000, Outcome.CRASHED);
        assertVerdict(7, 2, 1);
    }

    /**
     * Runs a short scenario on real sockets with a router that repeats queries that are not safe to
     * repeat and ignores placement and ordering.
     */
    @Test
    void violationsOfAnUnsafeRouterAreFoundOnRealSockets() throws Exception {
        ScenarioConfig scenario =
                ScenarioConfigReader.read(
                        "day.sexp",
                        """
                        (day (name broken) (duration 4s) (rate 60/s) (router r1 (zone halle-1))
                          (engine q1 (zone halle-1) (kind typ-a)) (engine q2 (zone halle-1) (kind typ-b))
                          (load abfrage (share 0.5) (work 10ms) (timeout 2s) (user portal))
                          (load bericht (share 0.2) (work 20ms) (threads 4) (timeout 3s) (user billing))
                          (load ladung (share 0.3) (work 100ms) (threads 2) (timeout 3s) (user portal) (write yes) (keys 2))
                          (trouble (kind lost-answers) (at 500ms) (for 3s) (target q2) (factor 0.5))
                          (trouble (kind slow) (at 500ms) (for 3s) (target q1) (factor 0.5)))\
                        """);
        ScenarioFacts facts =
                new ScenarioRunner(scenario, InvariantCheckerTest::unsafeManager).run();
        List<Verdict> verdicts = new InvariantChecker(facts).verdicts();
        assertFalse(
                verdicts.get(1).violations().isEmpty(),
                "no duplicate effects: " + verdicts.get(1).exercisedCases());
        assertFalse(
                verdicts.get(4).violations().isEmpty(),
                "key ordering: " + verdicts.get(4).exercisedCases());
        assertFalse(
                verdicts.get(5).violations().isEmpty(),
                "placement: " + verdicts.get(5).exercisedCases());
        assertTrue(ServiceLevel.of(facts).requests() > 100);
    }

    /**
     * Returns a workload manager whose classes allow retries, all engines and any order, and whose
     * attempts time out early.
     */
    private static WorkloadManager unsafeManager(Settings settings) {
        List<QueryClass> classes =
                settings.classes().stream().map(InvariantCheckerTest::unsafeClass).toList();
        WorkloadManager delegate =
                new DefaultWorkloadManager(
                        new Settings(
                                settings.seed(),
                                settings.routerCount(),
                                settings.routerIndex(),
                                settings.zone(),
                                classes,
                                settings.kinds(),
                                settings.capabilities(),
                                settings.limits()));
        return (event, now) ->
                delegate.onEvent(event, now).stream()
                        .map(
                                action ->
                                        action instanceof StartAttempt startAttempt
                                                ? new StartAttempt(
                                                        startAttempt.id(),
                                                        startAttempt.engine(),
                                                        Math.min(
                                                                startAttempt.timeoutNs(),
                                                                400 * NS_PER_MS))
                                                : action)
                        .toList();
    }

    private static QueryClass unsafeClass(QueryClass queryClass) {
        return new QueryClass(
                queryClass.name(),
                queryClass.latencyObjectiveNs(),
                queryClass.objectivePerWork(),
                queryClass.deadlineNs(),
                RetrySafety.IDEMPOTENT,
                queryClass.deduplicationScope(),
                0,
                queryClass.priorityWeight(),
                queryClass.lateWeightFraction(),
                false,
                Set.of(),
                Set.of(),
                queryClass.threads(),
                false,
                false);
    }
}
