package ashlink.router.core;

import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
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

    private final CoreClock clock = new CoreClock();
    private final DelayMonitor delays = new DelayMonitor(clock::nowNs);

    /** Guards against maintenance that ends with the first event that failed. */
    @Test
    void aTimerWhoseEventFailedFiresAgain() throws InterruptedException {
        CountDownLatch firedAgain = new CountDownLatch(1);
        Core core = core(failingOnce(firedAgain));
        core.start();
        core.submit(
                new CoreRequest("any", null, 0, 60_000 * NS_PER_MS, 0, 0, ""), ignoreResponses());
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

    private Core core(WorkloadManager workloadManager) {
        return new Core(
                "test",
                workloadManager,
                Map.of(),
                (engine, listener) ->
                        listener.onHealthCheckCompleted(Outcome.SERVED, LoadReport.NONE),
                clock,
                new AdmissionLimits(10, 10, 10),
                RequestMetrics.NONE,
                delays);
    }

    private static ResponseSink ignoreResponses() {
        return new ResponseSink() {
            @Override
            public void start(Attempt attempt) {}

            @Override
            public void reject(long retryAfterNs) {}

            @Override
            public void fail() {}

            @Override
            public void abortPartial(Outcome outcome) {}
        };
    }
}
