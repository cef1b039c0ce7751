package ashlink.decisions;

import static ashlink.decisions.LargeFleet.router;
import static ashlink.decisions.RouterHarness.enginesOf;
import static ashlink.decisions.RouterHarness.ofType;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests, through the workload manager, the restart of running queries and the memory grants after
 * spills.
 */
class QueryRestartTest {

    @Test
    void queryWithABadPlanIsRestarted() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a", "b");
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        router.advanceMs(1_000);
        List<Action> actions =
                router.deliver(new AttemptProgress(1, 0, engine, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(List.of(new CancelAttempt(1, 0)), ofType(CancelAttempt.class, actions));
        router.endAttempt(1, 0, engine, Outcome.CANCELLED, 1_000);
        assertEquals(2, router.startedAttempts().size());
    }

    @Test
    void queryWithGoodProgressIsNotRestarted() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a", "b");
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        router.advanceMs(1_000);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.8)))
                        .isEmpty());
    }

    @Test
    void spillsRaiseTheGrantUpToTheMaximum() {
        RouterHarness router = RouterHarness.withReportsAndLookups("a");
        long first =
                ofType(SetAttemptResources.class, router.submit(0, "report", null, 100))
                        .get(0)
                        .memoryMb();
        for (int i = 0; i < 100; i++) {
            router.deliver(new AttemptProgress(i, 0, "a", ProgressKind.SPILLED_MB, 50));
            router.endAttempt(i, 0, "a", Outcome.SERVED, 50);
            router.submit(i + 1, "report", null, 100);
        }
        List<SetAttemptResources> resources = ofType(SetAttemptResources.class, router.actions);
        assertTrue(resources.get(100).memoryMb() > first);
        assertTrue(resources.get(100).memoryMb() <= 0.4 * 8_000);
    }

    @Test
    void earlySpillRestartsTheQueryWithTheMemoryItNeeds() {
        RouterHarness router = router(1, 0, 2);
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        List<Action> actions =
                router.deliver(new AttemptProgress(1, 0, engine, ProgressKind.SPILLED_MB, 900));
        assertEquals(List.of(new CancelAttempt(1, 0)), ofType(CancelAttempt.class, actions));
        long first = ofType(SetAttemptResources.class, router.actions).get(0).memoryMb();
        long second =
                ofType(
                                SetAttemptResources.class,
                                router.endAttempt(1, 0, engine, Outcome.CANCELLED, 10))
                        .get(0)
                        .memoryMb();
        assertTrue(second >= first + 900, second + " MB");
        assertTrue(
                ofType(SetAttemptResources.class, router.submit(2, "report", null, 1_000))
                                .get(0)
                                .memoryMb()
                        >= first + 900);
    }

    @Test
    void smallOrLateSpillDoesNotRestartTheQuery() {
        RouterHarness router = router(1, 0, 2);
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.SPILLED_MB, 10)))
                        .isEmpty());
        router.advanceMs(500);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.SPILLED_MB, 900)))
                        .isEmpty());
    }

    @Test
    void waitingForMemoryDoesNotIndicateABadPlan() {
        RouterHarness router = router(1, 0, 2);
        String engine = enginesOf(router.submit(1, "report", null, 1_000)).get(0);
        for (int i = 0; i < 5; i++) {
            router.advanceMs(1_000);
            router.deliver(new AttemptProgress(1, 0, engine, ProgressKind.WAITING, 1));
        }
        router.advanceMs(200);
        assertTrue(
                ofType(
                                CancelAttempt.class,
                                router.deliver(
                                        new AttemptProgress(
                                                1, 0, engine, ProgressKind.FRACTION_DONE, 0.2)))
                        .isEmpty());
    }
}
