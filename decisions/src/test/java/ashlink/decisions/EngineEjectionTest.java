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

/** The ejection of engines that fail, return errors or give no sign of their queries. */
class EngineEjectionTest {

    /**
     * Lookups one after the other; those named answer with an error at once. Returns the sends to
     * {@code a}.
     */
    private static long attemptsOnA(int lookups, Set<String> bad) {
        RouterHarness router =
                RouterHarness.withClasses(shortClass("lookup")).withEngines("a", "b", "c");
        for (int i = 0; i < lookups; i++) {
            router.submit(i, "lookup", null, 20);
            for (int shot = 0; router.inFlight.containsKey((long) i); shot++) {
                String text = router.inFlight.get((long) i).engine();
                router.advanceMs(bad.contains(text) ? 3 : 20);
                router.endAttempt(
                        i,
                        shot,
                        text,
                        bad.contains(text) ? Outcome.ERROR : Outcome.SERVED,
                        bad.contains(text) ? 3 : 20);
            }
        }
        return enginesOf(router.actions).stream().filter("a"::equals).count();
    }

    @Test
    void engineThatReturnsErrorsIsEjected() {
        long sent = attemptsOnA(200, Set.of("a"));
        assertTrue(sent >= 3 && sent <= 20, "sent " + sent);
    }

    @Test
    void noneIsEjectedIfAllEnginesReturnErrors() {
        long all = attemptsOnA(200, Set.of("a", "b", "c"));
        assertTrue(all > 200, "sent " + all); // a third of four attempts each
    }

    @Test
    void unresponsiveEngineIsEjectedThoughItAnswersHealthChecks() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a", "b", "c");
        String silent = enginesOf(router.submit(1, "report", null, 5_000)).get(0);
        router.advanceMs(1_000);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, silent, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
        assertTrue(ofType(CancelAttempt.class, router.advanceMs(1_500)).isEmpty());
        assertEquals(
                List.of(new CancelAttempt(1, 0)),
                ofType(CancelAttempt.class, router.advanceMs(200)));
        List<Log> lines = ofType(Log.class, router.actions);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).text().contains(silent), lines.get(0).text());
        router.endAttempt(1, 0, silent, Outcome.CANCELLED, 1_000);
        assertNotEquals(silent, router.startedAttempts().get(1).engine());
    }

    @Test
    void noneIsEjectedIfMostEnginesFail() {
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
