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
        return RouterHarness.settings(
                2,
                CAPABILITIES,
                LIMITS,
                RouterHarness.shortClass("lookup"),
                RouterHarness.reportClass(Set.of("big"), Set.of()),
                RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, true));
    }

    /** Plays the stream of that seed and returns all actions as text. */
    private static String replayRandomEvents(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RouterHarness router = new RouterHarness(settings());
        Map<Long, StartAttempt> out = new HashMap<>();
        Map<Long, Integer> sent = new HashMap<>();
        Map<Long, Long> deadlines = new HashMap<>();
        Set<Long> loads = new HashSet<>();
        Set<Long> reports = new HashSet<>();
        Set<Long> ran = new HashSet<>();
        Set<Long> answered = new HashSet<>();
        Set<String> closed = new HashSet<>();
        String[] names = {"a", "b", "c", "d"};
        router.changeEndpoints(
                EndpointListKind.CACHED,
                RouterHarness.readyEndpoint("a"),
                RouterHarness.readyEndpoint("b"),
                RouterHarness.endpoint("c", "z1", "small", EndpointState.READY, 0));
        int checked = 0;
        for (long id = 0; id < 3_000; id++) {
            int kind = random.nextInt(10);
            if (kind < 4) {
                String text = List.of("lookup", "report", "load").get(random.nextInt(3));
                deadlines.put(id, router.nowNs + 3_000 * MS);
                (text.equals("load")
                                ? loads
                                : text.equals("report") ? reports : new HashSet<Long>())
                        .add(id);
                router.submit(
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
                router.endAttempt(
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
                router.changeEndpoints(
                        EndpointListKind.DELTA,
                        RouterHarness.endpoint(
                                name, "z1", name.equals("c") ? "small" : "big", phase, 0));
            } else {
                router.deliver(
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
            checked = checkRules(router, checked, out, sent, loads, reports, ran, answered, closed);
            expireAttempts(router, out, sent, deadlines, ran);
            checked = checkRules(router, checked, out, sent, loads, reports, ran, answered, closed);
            router.advanceMs(random.nextInt(40));
            checked = checkRules(router, checked, out, sent, loads, reports, ran, answered, closed);
        }
        for (int i = 0; i < 100; i++) {
            router.advanceMs(50);
            checked = checkRules(router, checked, out, sent, loads, reports, ran, answered, closed);
            expireAttempts(router, out, sent, deadlines, ran);
        }
        checkRules(router, checked, out, sent, loads, reports, ran, answered, closed);
        assertEquals(deadlines.keySet(), answered, "every query has its answer");
        return router.actions.toString();
    }

    private static void expireAttempts(
            RouterHarness router,
            Map<Long, StartAttempt> out,
            Map<Long, Integer> sent,
            Map<Long, Long> deadlines,
            Set<Long> ran) {
        for (long id : out.keySet().stream().sorted().toList()) {
            if (router.nowNs >= deadlines.get(id)) {
                ran.add(id);
                router.endAttempt(
                        id, sent.get(id) - 1, out.remove(id).engine(), Outcome.TIMED_OUT, 3_000);
            }
        }
    }

    private static int checkRules(
            RouterHarness router,
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
                        sent.merge(startAttempt.id(), 1, Integer::sum)
                                <= CAPABILITIES.maxAttempts(),
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
    void randomEventsViolateNoRule() {
        for (long seed = 1; seed <= 5; seed++) {
            replayRandomEvents(seed);
        }
    }

    @Test
    void sameEventsGiveTheSameActions() {
        String alone = replayRandomEvents(11);
        RouterHarness other = new RouterHarness(settings());
        other.withEngines("x", "y");
        other.submit(1, "lookup", null, 10);
        assertEquals(alone, replayRandomEvents(11));
    }

    @Test
    void noSourceLineIsTooWide() throws IOException {
        for (Path source : sources()) {
            List<String> wide = new ArrayList<>(Files.readAllLines(source));
            wide.removeIf(line -> line.length() <= 110);
            assertEquals(List.of(), wide, source.toString());
        }
    }

    @Test
    void deployFileListsEverySource() throws IOException {
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
