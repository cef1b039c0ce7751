package ashlink.decisions;

import static ashlink.decisions.Router.ALLOWED;
import static ashlink.decisions.Router.LIMITS;
import static ashlink.decisions.Router.MS;
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
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * A seeded stream of random events, with every action held against the rules; and what is true of
 * the module's text.
 */
class AuditTest {

    private static final Outcome[] OUTCOMES = Outcome.values();

    private static Settings settings() {
        return Router.settings(
                2,
                ALLOWED,
                LIMITS,
                Router.look("look"),
                Router.report(Set.of("big"), Set.of()),
                Router.load(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true));
    }

    /** Plays the stream of that seed and returns all actions as text. */
    private static String play(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Router router = new Router(settings());
        Map<Long, StartAttempt> out = new HashMap<>();
        Map<Long, Integer> sent = new HashMap<>();
        Map<Long, Long> deadlines = new HashMap<>();
        Set<Long> loads = new HashSet<>();
        Set<Long> reports = new HashSet<>();
        Set<Long> ran = new HashSet<>();
        Set<Long> answered = new HashSet<>();
        Set<String> closed = new HashSet<>();
        String[] names = {"a", "b", "c", "d"};
        router.list(
                EndpointListKind.CACHED,
                Router.ready("a"),
                Router.ready("b"),
                Router.entry("c", "z1", "small", EndpointState.READY, 0));
        int checked = 0;
        for (long id = 0; id < 3_000; id++) {
            int kind = random.nextInt(10);
            if (kind < 4) {
                String text = List.of("look", "report", "load").get(random.nextInt(3));
                deadlines.put(id, router.now + 3_000 * MS);
                (text.equals("load")
                                ? loads
                                : text.equals("report") ? reports : new HashSet<Long>())
                        .add(id);
                router.ask(
                        id,
                        text,
                        text.equals("load") ? "k" + random.nextInt(3) : null,
                        random.nextInt(5),
                        random.nextInt(2_000),
                        3_000);
            } else if (kind < 8 && !out.isEmpty()) {
                long which =
                        out.keySet().stream()
                                .sorted()
                                .skip(random.nextInt(out.size()))
                                .findFirst()
                                .orElseThrow();
                Outcome outcome = OUTCOMES[random.nextInt(OUTCOMES.length)];
                StartAttempt startAttempt = out.remove(which);
                if (outcome.mayHaveRun()) {
                    ran.add(which);
                }
                if (outcome == Outcome.SERVED) {
                    assertTrue(answered.add(which), "answered twice");
                }
                router.end(
                        which,
                        sent.get(which) - 1,
                        startAttempt.engine(),
                        outcome,
                        1 + random.nextInt(2_000));
            } else if (kind == 8) {
                String name = names[random.nextInt(names.length)];
                EndpointState phase = EndpointState.values()[random.nextInt(3)];
                if (phase == EndpointState.READY) {
                    closed.remove(name);
                } else {
                    closed.add(name);
                }
                router.list(
                        EndpointListKind.DELTA,
                        Router.entry(name, "z1", name.equals("c") ? "small" : "big", phase, 0));
            } else {
                router.on(
                        new HealthCheckCompleted(
                                names[random.nextInt(3)],
                                OUTCOMES[random.nextInt(OUTCOMES.length)],
                                MS,
                                new LoadReport(
                                        random.nextInt(3),
                                        random.nextDouble(),
                                        Double.NaN,
                                        Double.NaN)));
            }
            checked = audit(router, checked, out, sent, loads, reports, ran, answered, closed);
            timeOut(router, out, sent, deadlines, ran);
            checked = audit(router, checked, out, sent, loads, reports, ran, answered, closed);
            router.pass(random.nextInt(40));
            checked = audit(router, checked, out, sent, loads, reports, ran, answered, closed);
        }
        for (int i = 0; i < 100; i++) {
            router.pass(50);
            checked = audit(router, checked, out, sent, loads, reports, ran, answered, closed);
            timeOut(router, out, sent, deadlines, ran);
        }
        audit(router, checked, out, sent, loads, reports, ran, answered, closed);
        assertEquals(deadlines.keySet(), answered, "every query has its answer");
        return router.actions.toString();
    }

    private static void timeOut(
            Router router,
            Map<Long, StartAttempt> out,
            Map<Long, Integer> sent,
            Map<Long, Long> deadlines,
            Set<Long> ran) {
        for (long id : out.keySet().stream().sorted().toList()) {
            if (router.now >= deadlines.get(id)) {
                ran.add(id);
                router.end(id, sent.get(id) - 1, out.remove(id).engine(), Outcome.TIMED_OUT, 3_000);
            }
        }
    }

    private static int audit(
            Router router,
            int from,
            Map<Long, StartAttempt> out,
            Map<Long, Integer> sent,
            Set<Long> loads,
            Set<Long> reports,
            Set<Long> ran,
            Set<Long> answered,
            Set<String> closed) {
        for (Action action : router.actions.subList(from, router.actions.size())) {
            if (action instanceof StartAttempt startAttempt) {
                assertTrue(!answered.contains(startAttempt.id()), "sent after its answer");
                assertTrue(out.put(startAttempt.id(), startAttempt) == null, "two attempts out");
                assertTrue(!closed.contains(startAttempt.engine()), "sent to a draining engine");
                assertTrue(
                        !loads.contains(startAttempt.id()) || !ran.contains(startAttempt.id()),
                        "an unsafe query sent again");
                assertTrue(
                        !reports.contains(startAttempt.id()) || !startAttempt.engine().equals("c"),
                        "sent to a wrong kind");
                assertTrue(
                        sent.merge(startAttempt.id(), 1, Integer::sum) <= ALLOWED.maxAttempts(),
                        "too many attempts");
            } else if (action instanceof Reject reject) {
                assertTrue(
                        !loads.contains(reject.id()) || !ran.contains(reject.id()),
                        "refused though it may have run");
                assertTrue(answered.add(reject.id()), "answered twice");
            } else if (action instanceof Fail fail) {
                assertTrue(answered.add(fail.id()), "answered twice");
            }
        }
        return router.actions.size();
    }

    @Test
    void randomEventsBreakNoRule() {
        for (long seed = 1; seed <= 5; seed++) {
            play(seed);
        }
    }

    @Test
    void theSameEventsGiveTheSameActionsWhateverElseRuns() {
        String alone = play(11);
        Router other = new Router(settings());
        other.engines("x", "y");
        other.ask(1, "look", null, 10);
        assertEquals(alone, play(11));
    }

    @Test
    void noSourceLineOfTheModuleIsTooWide() throws IOException {
        for (Path source : sources()) {
            List<String> wide = new ArrayList<>(Files.readAllLines(source));
            wide.removeIf(line -> line.length() <= 110);
            assertEquals(List.of(), wide, source.toString());
        }
    }

    @Test
    void theDeployFileListsEverySourceOfTheModule() throws IOException {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        int start = deploy.indexOf("policy = [");
        String policy = deploy.substring(start, deploy.indexOf(']', start));
        Set<String> listed = new TreeSet<>();
        Matcher matcher = Pattern.compile("\"decisions/([^\"]+)\"").matcher(policy);
        while (matcher.find()) {
            listed.add(matcher.group(1));
        }
        Set<String> present = new TreeSet<>();
        for (Path source : sources()) {
            present.add(source.toString());
        }
        assertEquals(present, listed);
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            List<Path> sources =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.endsWith("package-info.java"))
                            .toList();
            assertTrue(sources.size() > 2, sources.toString());
            return sources;
        }
    }
}
