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
import ashlink.loadtest.check.Service;
import ashlink.loadtest.check.Verdict;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import ashlink.loadtest.scenario.ScenarioFacts.Span;
import ashlink.loadtest.scenario.ScenarioRunner;
import ashlink.loadtest.scenario.SentQuery;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Each rule is broken on purpose and the checker finds it; a rule that was never at stake is no
 * proof.
 */
class InvariantCheckerTest {

    private static final long MS = 1_000_000L;
    private static final long FROM = 1_000_000 * MS;
    private final List<ClientAttempt> tries = new ArrayList<>();
    private final List<SentQuery> ledger = new ArrayList<>();
    private final List<Drain> drains = new ArrayList<>();
    private final List<Span> kills = new ArrayList<>();
    private final List<Span> downs = new ArrayList<>();
    private final List<Span> sick = new ArrayList<>();
    private final List<String> fallen = new ArrayList<>();

    private void client(
            String tag,
            String cls,
            String key,
            long sentMs,
            long endMs,
            Reply.Kind kind,
            int code) {
        tries.add(
                new ClientAttempt(
                        Long.parseLong(tag.substring(0, tag.indexOf('.'))),
                        tag,
                        0,
                        cls,
                        key,
                        "r1",
                        80,
                        1,
                        FROM + sentMs * MS,
                        FROM + sentMs * MS,
                        FROM + (sentMs + 2000) * MS,
                        true,
                        new Reply(kind, code, "", 0, 0, FROM + endMs * MS),
                        false,
                        "native"));
    }

    private void engine(String tag, String engine, long beganMs, long untilMs, Outcome how) {
        boolean ran = how != Outcome.NO_DATA && how != Outcome.TURNED_AWAY;
        ledger.add(
                new SentQuery(
                        engine,
                        engine.startsWith("a") ? "typ-a" : "typ-b",
                        "halle-1",
                        "r1",
                        tag,
                        80,
                        FROM + beganMs * MS,
                        ran ? FROM + beganMs * MS : 0,
                        FROM + untilMs * MS,
                        how));
    }

    private Verdict verdict(int rule) throws Exception {
        ScenarioConfig day =
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
                                day, settings, FROM, tries, ledger, drains, kills, downs, sick,
                                fallen))
                .verdicts()
                .get(rule - 1);
    }

    private void expect(int rule, int stake, int broken) throws Exception {
        Verdict v = verdict(rule);
        assertEquals(stake, v.atStake(), v.toString());
        assertEquals(broken, v.broken().size(), v.toString());
        assertEquals(stake > 0 && broken == 0, v.isKept());
    }

    @Test
    void aDayOnWhichNothingHappensProvesNothing() throws Exception {
        client("1.0", "abfrage", null, 0, 100, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 90, Outcome.ANSWERED);
        for (int rule = 1; rule <= 7; rule++) {
            expect(rule, 0, 0);
        }
    }

    @Test
    void aMissingAnswerIsFoundUnlessTheRouterDied() throws Exception {
        client("1.0", "abfrage", null, 0, 100, Reply.Kind.EXCEPTION, 202);
        client("2.0", "abfrage", null, 0, 2000, Reply.Kind.TIMED_OUT, 0);
        client("3.0", "abfrage", null, 0, 50, Reply.Kind.LOST, 0);
        expect(1, 3, 2);
        kills.add(new Span("r1", FROM + 20 * MS, FROM + 30 * MS));
        expect(1, 0, 0);
    }

    @Test
    void aSecondRunOfALoadIsFoundAndARefusalOfOneThatRan() throws Exception {
        client("1.0", "ladung", "k", 0, 900, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 100, Outcome.CRASHED);
        engine("1.0", "b1", 300, 800, Outcome.ANSWERED);
        client("2.0", "ladung", "k2", 0, 900, Reply.Kind.EXCEPTION, 202);
        engine("2.0", "a1", 10, 100, Outcome.ANSWER_LOST);
        expect(2, 3, 2);
    }

    @Test
    void anInsertWithoutItsDataMayBeGivenToAnother() throws Exception {
        client("1.0", "ladung", "k", 0, 900, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 100, Outcome.NO_DATA);
        engine("1.0", "b1", 300, 800, Outcome.ANSWERED);
        expect(2, 2, 0);
    }

    @Test
    void twoAttemptsAtOnceAreFound() throws Exception {
        client("1.0", "abfrage", null, 0, 900, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 700, Outcome.ANSWERED);
        engine("1.0", "b1", 300, 800, Outcome.ANSWERED);
        expect(2, 1, 1);
    }

    @Test
    void newWorkAfterTheGraceOfADrainIsFound() throws Exception {
        engine("1.0", "a1", 10, 100, Outcome.ANSWERED);
        drains.add(new Drain("r1", "a1", FROM + 500 * MS, FROM + 9000 * MS));
        engine("2.0", "a1", 2400, 2500, Outcome.ANSWERED);
        expect(3, 1, 0);
        engine("3.0", "a1", 2600, 2700, Outcome.ANSWERED);
        expect(3, 1, 1);
    }

    @Test
    void aColdEngineThatIsSentTooMuchOrFallsOverIsFound() throws Exception {
        downs.add(new Span("a1", FROM, FROM + 1000 * MS));
        for (int i = 0; i < 300; i++) {
            engine(
                    i + ".0",
                    "a1",
                    1100 + i,
                    1200 + i,
                    Outcome.ANSWERED); // 24 s of work in 0.3 s; it bears some 21 to 22
        }
        Verdict v = verdict(4);
        assertEquals(300, v.atStake());
        assertTrue(v.broken().size() > 10 && v.broken().size() < 60, v.broken().size() + " broken");
        fallen.add("a1");
        assertEquals(v.broken().size() + 1, verdict(4).broken().size());
    }

    @Test
    void aChangedOrderAndAnOverlapOfOneKeyAreFound() throws Exception {
        client("1.0", "ladung", "k", 0, 1900, Reply.Kind.SERVED, 0);
        client("2.0", "ladung", "k", 200, 1900, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 600, Outcome.ANSWERED);
        engine("2.0", "b1", 700, 1000, Outcome.ANSWERED);
        expect(5, 1, 0);
        ledger.clear();
        engine("1.0", "a1", 10, 600, Outcome.ANSWERED);
        engine("2.0", "b1", 300, 1000, Outcome.ANSWERED);
        expect(5, 1, 1);
        ledger.clear();
        engine("2.0", "b1", 300, 700, Outcome.ANSWERED);
        engine("1.0", "a1", 800, 1000, Outcome.ANSWERED);
        expect(5, 1, 1);
    }

    @Test
    void aReportOnTheWrongKindIsFound() throws Exception {
        sick.add(new Span("a1", FROM, FROM + 1000 * MS));
        client("1.0", "bericht", null, 0, 100, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 90, Outcome.ANSWERED);
        expect(6, 1, 0);
        client("2.0", "bericht", null, 0, 100, Reply.Kind.SERVED, 0);
        engine("2.0", "b1", 10, 90, Outcome.ANSWERED);
        expect(6, 2, 1);
    }

    @Test
    void tooManyFurtherAttemptsAreFound() throws Exception {
        client("1.0", "abfrage", null, 0, 900, Reply.Kind.SERVED, 0);
        engine("1.0", "a1", 10, 100, Outcome.CRASHED);
        engine("1.0", "b1", 300, 800, Outcome.ANSWERED);
        expect(7, 1, 0);
        engine("1.0", "a1", 900, 1000, Outcome.CRASHED);
        expect(7, 2, 1);
    }

    /**
     * A short day on real sockets under a router that repeats unsafe work, misplaces and goes on
     * sending.
     */
    @Test
    void aRouterThatBreaksRulesIsFoundOnRealSockets() throws Exception {
        ScenarioConfig day =
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
        ScenarioFacts facts = new ScenarioRunner(day, InvariantCheckerTest::reckless).run();
        List<Verdict> verdicts = new InvariantChecker(facts).verdicts();
        assertFalse(
                verdicts.get(1).broken().isEmpty(),
                "no effect twice: " + verdicts.get(1).atStake());
        assertFalse(verdicts.get(4).broken().isEmpty(), "order: " + verdicts.get(4).atStake());
        assertFalse(verdicts.get(5).broken().isEmpty(), "placement: " + verdicts.get(5).atStake());
        assertTrue(Service.of(facts).asked() > 100);
    }

    /**
     * Rules that were told that everything may be repeated, anywhere and in any order, and that
     * give up early.
     */
    private static WorkloadManager reckless(Settings settings) {
        List<QueryClass> classes =
                settings.classes().stream()
                        .map(
                                queryClass ->
                                        new QueryClass(
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
                                                false))
                        .toList();
        WorkloadManager inner =
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
                inner.onEvent(event, now).stream()
                        .map(
                                action ->
                                        action instanceof StartAttempt send
                                                ? new StartAttempt(
                                                        send.id(),
                                                        send.engine(),
                                                        Math.min(send.timeoutNs(), 400 * MS))
                                                : action)
                        .toList();
    }
}
