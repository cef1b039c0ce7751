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

/** Runs, budgets and stops of {@link Scheduler}, on real threads. */
class SchedulerTest {

    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;

    private static Scheduler newScheduler(Limits limits) {
        return new Scheduler("test", limits, 1, () -> 0);
    }

    @Test
    void aPeriodicTaskRunsAgainAfterAFailureAndOnceMoreAtTheStop() throws Exception {
        Scheduler scheduler = newScheduler(Limits.DEFAULT);
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch five = new CountDownLatch(5);
        scheduler.add(
                TaskSpec.every("work", Priority.HIGH, 5 * MS, S).alsoAtStop(),
                lease -> {
                    runs.incrementAndGet();
                    five.countDown();
                    if (runs.get() == 2) {
                        throw new IllegalStateException("once");
                    }
                });
        assertTrue(five.await(20, TimeUnit.SECONDS));
        assertEquals(1, scheduler.failed());
        assertTrue(scheduler.stop(20 * S));
        int after = runs.get();
        assertTrue(after >= 6, "a final run at the stop");
        assertFalse(scheduler.add(TaskSpec.once("late", Priority.HIGH, S, S), lease -> {}));
        Thread.sleep(30);
        assertEquals(after, runs.get());
    }

    @Test
    void aRunThatIgnoresItsInterruptIsAbandonedAndOthersGoOn() throws Exception {
        Scheduler scheduler = newScheduler(new Limits(1, 10, 0.25, 20e6, 1e6, 1e5, 0.1, 20 * MS));
        CountDownLatch release = new CountDownLatch(1);
        scheduler.add(
                TaskSpec.once("deaf", Priority.NORMAL, S, 20 * MS),
                lease -> {
                    while (release.getCount() > 0) {
                        try {
                            release.await();
                        } catch (InterruptedException ignored) {
                            // ignores the interrupt
                        }
                    }
                });
        CountDownLatch other = new CountDownLatch(1);
        scheduler.add(TaskSpec.once("other", Priority.NORMAL, S, S), lease -> other.countDown());
        assertTrue(other.await(20, TimeUnit.SECONDS));
        assertEquals(1, scheduler.abandoned());
        assertFalse(scheduler.stop(50 * MS), "a run is left behind, and the stop says so");
        release.countDown();
    }

    @Test
    void bytesAndProcessorTimeAreWaitedFor() throws Exception {
        Scheduler scheduler = newScheduler(new Limits(2, 10, 0.05, 2e6, 1e6, 1e5, 0.1, S));
        CountDownLatch done = new CountDownLatch(2);
        long from = System.nanoTime();
        long[] took = new long[2];
        scheduler.add(
                TaskSpec.once("bytes", Priority.HIGH, S, 60 * S),
                lease -> {
                    lease.acquireBytes(300_000); // 100 kB at once, the rest at 1 MB a second
                    took[0] = System.nanoTime() - from;
                    done.countDown();
                });
        scheduler.add(
                TaskSpec.once("cpu", Priority.HIGH, S, 60 * S),
                lease -> {
                    long cpu = Scheduler.threadCpuNs();
                    while (Scheduler.threadCpuNs() - cpu < 15 * MS) {
                        lease.checkpoint(); // 2 ms at once, the rest at a twentieth of a core
                    }
                    took[1] = System.nanoTime() - from;
                    done.countDown();
                });
        assertTrue(done.await(60, TimeUnit.SECONDS));
        assertTrue(took[0] >= 195 * MS, took[0] / MS + " ms for the bytes");
        assertTrue(took[1] >= 150 * MS, took[1] / MS + " ms for 15 ms of work");
        scheduler.kill();
    }

    @Test
    void aRunThatWaitsForItsBudgetCanBeCancelled() throws Exception {
        Scheduler scheduler = newScheduler(new Limits(2, 10, 0.05, 2e6, 1, 1, 0.1, S));
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch interrupted = new CountDownLatch(1);
        scheduler.add(
                TaskSpec.once("big", Priority.HIGH, S, 60 * S),
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
