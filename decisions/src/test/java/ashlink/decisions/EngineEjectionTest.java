package ashlink.decisions;

import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.ofType;
import static ashlink.decisions.RouterHarness.shortClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests, through the workload manager, the ejection of engines that fail, return errors or show no
 * activity.
 */
class EngineEjectionTest {

    /**
     * Submits lookups one after the other and returns the number of attempts on engine {@code a}.
     *
     * @param lookups number of lookups
     * @param failing engines that return an error after 3 ms
     */
    private static long attemptsOnA(int lookups, Set<String> failing) {
        RouterHarness router =
                RouterHarness.withClasses(shortClass("lookup")).withEngines("a", "b", "c");
        for (int i = 0; i < lookups; i++) {
            router.submit(i, "lookup", null, 20);
            for (int attempt = 0; router.inFlight.containsKey((long) i); attempt++) {
                String engine = router.inFlight.get((long) i).engine();
                router.advanceMs(failing.contains(engine) ? 3 : 20);
                router.endAttempt(
                        i,
                        attempt,
                        engine,
                        failing.contains(engine) ? Outcome.ERROR : Outcome.SERVED,
                        failing.contains(engine) ? 3 : 20);
            }
        }
        return enginesOf(router.actions).stream().filter("a"::equals).count();
    }

    @Test
    void engineThatReturnsErrorsIsEjected() {
        long attempts = attemptsOnA(200, Set.of("a"));
        assertTrue(attempts >= 3 && attempts <= 20, attempts + " attempts");
    }

    @Test
    void ejectionIsIgnoredIfAllEnginesReturnErrors() {
        long all = attemptsOnA(200, Set.of("a", "b", "c"));
        // Each lookup has four attempts, about a third of them on each engine.
        assertTrue(all > 200, all + " attempts");
    }

    @Test
    void unresponsiveEngineThatAnswersHealthChecksIsEjected() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a", "b", "c");
        String unresponsive = enginesOf(router.submit(1, "report", null, 5_000)).get(0);
        router.advanceMs(1_000);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1,
                                                0,
                                                unresponsive,
                                                ProgressKind.FRACTION_DONE,
                                                0.2)))
                        .isEmpty());
        assertTrue(ofType(CancelAttempt.class, router.advanceMs(1_500)).isEmpty());
        assertEquals(
                List.of(new CancelAttempt(1, 0)),
                ofType(CancelAttempt.class, router.advanceMs(200)));
        List<Log> lines = ofType(Log.class, router.actions);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).text().contains(unresponsive), lines.get(0).text());
        router.endAttempt(1, 0, unresponsive, Outcome.CANCELLED, 1_000);
        assertNotEquals(unresponsive, router.startedAttempts().get(1).engine());
    }

    @Test
    void ejectionIsIgnoredIfMostEnginesFail() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a", "b");
        for (int i = 0; i < 2; i++) {
            router.endAttempt(
                    i,
                    0,
                    enginesOf(router.submit(i, "report", null, 100)).get(0),
                    Outcome.CONNECT_FAILED,
                    1);
        }
        assertEquals(1, enginesOf(router.submit(9, "report", null, 100)).size());
    }
}
