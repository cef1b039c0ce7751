package ashlink.background;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.background.plan.Limits;
import ashlink.background.plan.Priority;
import ashlink.background.plan.TaskSpec;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests runs, budgets and the stop of {@link Scheduler} with real threads. */
class SchedulerTest {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    private static Scheduler newScheduler(Limits limits) {
        return new Scheduler("test", limits, 1, () -> 0);
    }

    @Test
    void periodicTaskRunsAgainAfterFailureAndOnceMoreAtStop() throws Exception {
        Scheduler scheduler = newScheduler(Limits.DEFAULT);
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch fiveRuns = new CountDownLatch(5);
        scheduler.add(
                TaskSpec.every("work", Priority.HIGH, 5 * MS, SECOND).withFinalRun(),
                lease -> {
                    runs.incrementAndGet();
                    fiveRuns.countDown();
                    if (runs.get() == 2) {
                        throw new IllegalStateException("expected failure of the second run");
                    }
                });
        assertTrue(fiveRuns.await(20, TimeUnit.SECONDS));
        assertEquals(1, scheduler.failed());
        assertTrue(scheduler.stop(20 * SECOND));
        int runsAtStop = runs.get();
        assertTrue(runsAtStop >= 6, "the stop includes a final run");
        assertFalse(
                scheduler.add(TaskSpec.once("late", Priority.HIGH, SECOND, SECOND), lease -> {}));
        Thread.sleep(30);
        assertEquals(runsAtStop, runs.get());
    }

    @Test
    void runThatIgnoresInterruptIsAbandonedAndOtherTasksContinue() throws Exception {
        Scheduler scheduler = newScheduler(new Limits(1, 10, 0.25, 20e6, 1e6, 1e5, 0.1, 20 * MS));
        CountDownLatch release = new CountDownLatch(1);
        scheduler.add(
                TaskSpec.once("uninterruptible", Priority.NORMAL, SECOND, 20 * MS),
                lease -> {
                    while (release.getCount() > 0) {
                        try {
                            release.await();
                        } catch (InterruptedException ignored) {
                            // This run ignores the interrupt on purpose.
                        }
                    }
                });
        CountDownLatch other = new CountDownLatch(1);
        scheduler.add(
                TaskSpec.once("other", Priority.NORMAL, SECOND, SECOND),
                lease -> other.countDown());
        assertTrue(other.await(20, TimeUnit.SECONDS));
        assertEquals(1, scheduler.abandoned());
        assertFalse(scheduler.stop(50 * MS), "the stop reports the run that it left behind");
        release.countDown();
    }

    @Test
    void runsWaitForGrantsOfBytesAndProcessorTime() throws Exception {
        Scheduler scheduler = newScheduler(new Limits(2, 10, 0.05, 2e6, 1e6, 1e5, 0.1, SECOND));
        CountDownLatch done = new CountDownLatch(2);
        long startNs = System.nanoTime();
        long[] elapsedNs = new long[2];
        scheduler.add(
                TaskSpec.once("bytes", Priority.HIGH, SECOND, 60 * SECOND),
                lease -> {
                    lease.acquireBytes(300_000); // 100 kB immediately, the rest at 1 MB per second
                    elapsedNs[0] = System.nanoTime() - startNs;
                    done.countDown();
                });
        scheduler.add(
                TaskSpec.once("cpu", Priority.HIGH, SECOND, 60 * SECOND),
                lease -> {
                    long startCpuNs = Scheduler.threadCpuNs();
                    while (Scheduler.threadCpuNs() - startCpuNs < 15 * MS) {
                        lease.checkpoint(); // 2 ms immediately, the rest at a twentieth of a core
                    }
                    elapsedNs[1] = System.nanoTime() - startNs;
                    done.countDown();
                });
        assertTrue(done.await(60, TimeUnit.SECONDS));
        assertTrue(elapsedNs[0] >= 195 * MS, elapsedNs[0] / MS + " ms for the bytes");
        assertTrue(elapsedNs[1] >= 150 * MS, elapsedNs[1] / MS + " ms for 15 ms of work");
        scheduler.kill();
    }

    @Test
    void runThatWaitsForAGrantCanBeCancelled() throws Exception {
        Scheduler scheduler = newScheduler(new Limits(2, 10, 0.05, 2e6, 1, 1, 0.1, SECOND));
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch interrupted = new CountDownLatch(1);
        scheduler.add(
                TaskSpec.once("big", Priority.HIGH, SECOND, 60 * SECOND),
                lease -> {
                    started.countDown();
                    try {
                        lease.acquireBytes(1 << 30);
                    } catch (InterruptedException e) {
                        interrupted.countDown();
                    }
                });
        assertTrue(started.await(20, TimeUnit.SECONDS));
        scheduler.cancel("big");
        assertTrue(interrupted.await(20, TimeUnit.SECONDS));
        scheduler.kill();
    }
}
