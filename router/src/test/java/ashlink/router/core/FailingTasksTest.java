package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.WorkloadManager;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that no error ends the timers of the decision module. */
@Timeout(30)
class FailingTasksTest {

    private static final long NS_PER_MS = 1_000_000;

    /** Guards against maintenance that ends with the first event that failed. */
    @Test
    void aTimerWhoseEventFailedFiresAgain() throws InterruptedException {
        CountDownLatch firedAgain = new CountDownLatch(1);
        Core core = TestCores.create(failingOnce(firedAgain), Map.of(), new CoreClock());
        core.start();
        core.submit(
                new CoreRequest("any", null, 0, 60_000 * NS_PER_MS, 0, 0, ""),
                new TestCores.IgnoredResponses());
        firedAgain.await();
        core.kill();
    }

    /** Sets a timer on the first event, and fails when it fires for the first time. */
    private static WorkloadManager failingOnce(CountDownLatch firedAgain) {
        AtomicInteger fired = new AtomicInteger();
        return (event, nowNs) -> {
            if (!(event instanceof TimerFired)) {
                return List.of(new SetTimer(1, nowNs + NS_PER_MS));
            }
            if (fired.incrementAndGet() == 1) {
                throw new OutOfMemoryError("the first time");
            }
            firedAgain.countDown();
            return List.of();
        };
    }

    /** Guards against a second series of maintenance behind an action that failed. */
    @Test
    void aTimerWhoseNextOneIsSetFiresOnceHoweverItsActionsEnd() throws InterruptedException {
        AtomicInteger fired = new AtomicInteger();
        CoreClock clock = new CoreClock();
        Core core =
                TestCores.create(
                        (event, nowNs) -> {
                            if (event instanceof QuerySubmitted) {
                                return List.of(new SetTimer(1, nowNs));
                            }
                            return event instanceof TimerFired && fired.incrementAndGet() == 1
                                    ? List.of(
                                            new SetTimer(1, nowNs + NS_PER_MS),
                                            new StartAttempt(1, "e", 60_000 * NS_PER_MS))
                                    : List.of();
                        },
                        Map.of(),
                        clock);
        core.start();
        core.submit(
                new CoreRequest("any", null, 0, 60_000 * NS_PER_MS, 0, 0, ""),
                new TestCores.IgnoredResponses() {
                    @Override
                    public void start(Attempt attempt) {
                        throw new OutOfMemoryError("in an action");
                    }
                });
        long startNs = clock.nowNs();
        while (clock.nowNs() - startNs < 4 * DecisionDispatcher.TIMER_RETRY_NS) {
            Thread.sleep(1);
        }
        assertEquals(2, fired.get());
        core.kill();
    }
}
