package ashlink.background.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Evict;
import ashlink.background.plan.Decision.Grant;
import ashlink.background.plan.Decision.Interrupt;
import ashlink.background.plan.Decision.Resource;
import ashlink.background.plan.Decision.Start;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Tests the order, budgets, backoff and stop of {@link Planner} on a simulated clock. */
class PlannerTest {

    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;

    /** Runs a planner with runs of given durations, and records the decisions and start times. */
    static final class PlannerSimulation {
        /** The scheduled end of a run. */
        record RunEnd(long run, long atNs) {}

        final Planner planner;
        final Map<String, Long> durations = new HashMap<>();
        final Map<Long, String> taskByRun = new HashMap<>();
        final List<String> log = new ArrayList<>();
        final Map<String, List<Long>> startTimes = new HashMap<>();
        final PriorityQueue<RunEnd> scheduledEnds =
                new PriorityQueue<>(java.util.Comparator.comparingLong(RunEnd::atNs));
        long now = 1_000 * SECOND;
        int maxRunning;

        PlannerSimulation(Limits limits) {
            planner = new Planner(limits, 5);
        }

        boolean add(TaskSpec spec, long durationNs) {
            durations.put(spec.name(), durationNs);
            List<Decision> decisions = new ArrayList<>();
            boolean added = planner.add(spec, now, decisions);
            perform(decisions);
            return added;
        }

        void perform(List<Decision> decisions) {
            for (Decision decision : decisions) {
                if (decision instanceof Start start) {
                    taskByRun.put(start.run(), start.task());
                    startTimes.computeIfAbsent(start.task(), task -> new ArrayList<>()).add(now);
                    log.add("start " + start.task());
                    if (durations.get(start.task()) >= 0) {
                        scheduledEnds.add(
                                new RunEnd(start.run(), now + durations.get(start.task())));
                    }
                } else if (decision instanceof Evict evict) {
                    log.add("evict " + evict.task());
                } else if (decision instanceof Interrupt interrupt) {
                    log.add("interrupt " + taskByRun.get(interrupt.run()));
                } else if (decision instanceof Abandon abandon) {
                    log.add("abandon " + taskByRun.get(abandon.run()));
                }
            }
            maxRunning = Math.max(maxRunning, planner.running());
        }

        void runUntil(long end) {
            while (now < end) {
                while (!scheduledEnds.isEmpty() && scheduledEnds.peek().atNs <= now) {
                    planner.runEnded(scheduledEnds.poll().run, true, now);
                }
                perform(planner.decide(now));
                long next = Math.min(end, now + Math.max(1, planner.waitNs(now, SECOND)));
                now =
                        scheduledEnds.isEmpty()
                                ? next
                                : Math.max(now + 1, Math.min(next, scheduledEnds.peek().atNs));
            }
        }

        List<Long> startTimesOf(String task) {
            return startTimes.getOrDefault(task, List.of());
        }
    }

    static Limits limits(int maxConcurrentRuns, int maxQueued) {
        return new Limits(maxConcurrentRuns, maxQueued, 0.25, 20e6, 1e6, 1e5, 0.1, SECOND);
    }

    @Test
    void periodicTaskStaysWithinJitterAndNeverRunsConcurrently() {
        PlannerSimulation sim = new PlannerSimulation(limits(2, 10));
        sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, SECOND), 10 * MS);
        sim.runUntil(sim.now + 10 * SECOND);
        List<Long> starts = sim.startTimesOf("save");
        assertTrue(starts.size() > 90 && starts.size() < 110, starts.size() + " runs in 10 s");
        for (int i = 1; i < starts.size(); i++) {
            long gap = starts.get(i) - starts.get(i - 1);
            assertTrue(gap >= 90 * MS && gap <= 111 * MS, gap + " ns between two starts");
        }
        assertTrue(
                starts.stream().map(start -> start % (100 * MS)).distinct().count() > 20,
                "jitter varies the start times");
        assertEquals(1, sim.maxRunning);
    }

    @Test
    void thousandsOfDueTasksStartByDeadlineWithinTheSlots() {
        PlannerSimulation sim = new PlannerSimulation(limits(3, 5_000));
        for (int i = 0; i < 4_000; i++) {
            assertTrue(
                    sim.add(
                            TaskSpec.once(
                                    "t" + i,
                                    i % 2 == 0 ? Priority.LOW : Priority.NORMAL,
                                    SECOND,
                                    SECOND),
                            MS));
        }
        sim.add(TaskSpec.once("urgent", Priority.HIGH, SECOND, SECOND), MS);
        sim.runUntil(sim.now + MS);
        assertTrue(sim.log.contains("start urgent"), "the last slot is reserved for high priority");
        sim.runUntil(sim.now + 5 * SECOND);
        assertEquals(4_001, sim.taskByRun.size());
        assertEquals(3, sim.maxRunning);
        int lastNormal = sim.log.lastIndexOf("start t3999");
        assertTrue(
                sim.log.indexOf("start t0") > lastNormal,
                "tasks of normal priority start before tasks of low priority");
    }

    @Test
    void streamOfHighPriorityTasksCannotStarveLowPriorityTask() {
        PlannerSimulation sim = new PlannerSimulation(limits(1, 100));
        sim.add(TaskSpec.every("report", Priority.LOW, 30 * SECOND, SECOND), 50 * MS);
        long from = sim.now;
        int count = 0;
        while (sim.now < from + 120 * SECOND) {
            sim.add(
                    TaskSpec.once("u" + count++, Priority.HIGH, SECOND, SECOND),
                    10 * MS); // more than the single slot can run
            sim.runUntil(sim.now + 9 * MS);
        }
        List<Long> starts = sim.startTimesOf("report");
        assertTrue(starts.size() >= 2, starts.size() + " reports");
        assertTrue(
                starts.get(0) - from
                        <= 33 * SECOND + Priority.LOW.slackNs() + 100 * 10 * MS + 20 * MS,
                "once the slack has passed, only tasks with earlier deadlines start first: "
                        + (starts.get(0) - from) / MS
                        + " ms");
    }

    @Test
    void fullQueueEvictsTaskOfLowestPriority() {
        PlannerSimulation sim = new PlannerSimulation(limits(1, 3));
        sim.add(TaskSpec.once("running", Priority.NORMAL, SECOND, SECOND), SECOND);
        sim.runUntil(sim.now + MS);
        assertTrue(sim.add(TaskSpec.once("low", Priority.LOW, SECOND, SECOND), MS));
        assertTrue(sim.add(TaskSpec.once("normal", Priority.NORMAL, SECOND, SECOND), MS));
        assertTrue(sim.add(TaskSpec.once("high", Priority.HIGH, SECOND, SECOND), MS));
        assertFalse(
                sim.add(TaskSpec.once("low too", Priority.LOW, SECOND, SECOND), MS),
                "a new task of the lowest priority is rejected");
        assertTrue(sim.add(TaskSpec.once("high 2", Priority.HIGH, SECOND, SECOND), MS));
        assertTrue(sim.add(TaskSpec.once("high 3", Priority.HIGH, SECOND, SECOND), MS));
        assertFalse(
                sim.add(TaskSpec.once("high 4", Priority.HIGH, SECOND, SECOND), MS),
                "no queued task has a lower priority");
        assertEquals(List.of("start running", "evict low", "evict normal"), sim.log);
    }

    @Test
    void pressurePostponesLowPriorityTasksAndLowersBudgets() {
        PlannerSimulation sim = new PlannerSimulation(limits(2, 10));
        sim.planner.setPressure(1, sim.now);
        sim.add(TaskSpec.once("report", Priority.LOW, 5 * SECOND, SECOND), MS);
        sim.add(TaskSpec.once("save", Priority.NORMAL, 5 * SECOND, SECOND), MS);
        long from = sim.now;
        sim.runUntil(from + 10 * SECOND);
        assertEquals(from, sim.startTimesOf("save").get(0));
        assertEquals(
                from + 5 * SECOND,
                sim.startTimesOf("report").get(0),
                "the task starts after its maximum delay despite the pressure");
        sim.add(TaskSpec.once("copy", Priority.NORMAL, 5 * SECOND, 100 * SECOND), -1);
        sim.runUntil(sim.now + MS);
        long run =
                sim.taskByRun.entrySet().stream()
                        .filter(entry -> entry.getValue().equals("copy"))
                        .findFirst()
                        .orElseThrow()
                        .getKey();
        long requestStart = awaitGrants(sim, run, 100_000 + 200_000);
        assertEquals(
                2 * SECOND, sim.now - requestStart, 20 * MS, "a tenth of 1 MB per second remains");
    }

    /** Requests bytes until this number is granted, and returns the time of the first request. */
    private static long awaitGrants(PlannerSimulation sim, long run, double bytes) {
        long from = sim.now;
        double granted = 0;
        while (granted < bytes) {
            sim.planner.request(run, Resource.BYTES, bytes - granted, sim.now);
            for (Decision decision : sim.planner.decide(sim.now)) {
                granted += decision instanceof Grant grant ? grant.amount() : 0;
            }
            sim.now += MS;
        }
        return from;
    }

    @Test
    void failingTaskBacksOffExponentiallyAndHangingTaskLosesItsSlot() {
        PlannerSimulation sim = new PlannerSimulation(limits(1, 10));
        sim.add(TaskSpec.every("bad", Priority.NORMAL, SECOND, SECOND), -1);
        sim.runUntil(sim.now + 2 * SECOND);
        for (int i = 0; i < 12; i++) {
            long run = sim.taskByRun.keySet().stream().max(Long::compare).orElseThrow();
            sim.planner.runEnded(run, false, sim.now);
            sim.runUntil(sim.now + (2L << Math.min(i, 6)) * SECOND + 2 * SECOND);
        }
        List<Long> starts = sim.startTimesOf("bad");
        assertTrue(
                starts.get(3) - starts.get(2) >= 4 * SECOND
                        && starts.get(7) - starts.get(6) >= 64 * SECOND,
                starts.toString());

        PlannerSimulation hangSim = new PlannerSimulation(limits(1, 10));
        hangSim.add(TaskSpec.every("hang", Priority.NORMAL, 100 * MS, SECOND), -1);
        hangSim.add(TaskSpec.every("other", Priority.NORMAL, 100 * MS, SECOND), MS);
        hangSim.runUntil(hangSim.now + 4 * SECOND);
        assertEquals(
                1,
                hangSim.startTimesOf("hang").size(),
                "the task does not start again while its run hangs");
        assertTrue(hangSim.log.contains("interrupt hang") && hangSim.log.contains("abandon hang"));
        assertTrue(hangSim.startTimesOf("other").size() > 15, "the other task uses the slot");
    }

    @Test
    void clockJumpsForwardAndBackCauseOneRunForAllMissedPeriods() {
        PlannerSimulation sim = new PlannerSimulation(limits(2, 10));
        sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, SECOND), MS);
        sim.runUntil(sim.now + SECOND);
        int before = sim.startTimesOf("save").size();
        sim.now += 3_600 * SECOND;
        sim.runUntil(sim.now + 50 * MS);
        assertEquals(
                before + 1, sim.startTimesOf("save").size(), "one run replaces all missed periods");
        assertTrue(sim.planner.missedRuns("save") > 30_000);
        long latest = sim.now;
        sim.now -= 1_800 * SECOND;
        sim.perform(sim.planner.decide(sim.now));
        assertEquals(before + 1, sim.startTimesOf("save").size());
        sim.now = latest;
        sim.runUntil(latest + SECOND);
        assertTrue(
                sim.startTimesOf("save").size() > before + 7,
                "the task continues to run periodically");
    }

    @Test
    void stopStartsFinalRunsWaitsAndThenInterrupts() {
        PlannerSimulation sim = new PlannerSimulation(limits(3, 10));
        sim.add(
                TaskSpec.every("list", Priority.HIGH, 100 * SECOND, SECOND).withFinalRun(),
                10 * MS);
        sim.add(TaskSpec.every("clean", Priority.NORMAL, 100 * SECOND, SECOND), 10 * MS);
        sim.add(TaskSpec.once("long", Priority.NORMAL, SECOND, 100 * SECOND), -1);
        sim.runUntil(sim.now + 10 * MS);
        List<Decision> decisions = new ArrayList<>();
        sim.planner.stop(sim.now, 2 * SECOND, decisions);
        sim.perform(decisions);
        assertFalse(sim.add(TaskSpec.once("late", Priority.HIGH, SECOND, SECOND), MS));
        sim.runUntil(sim.now + SECOND);
        assertFalse(sim.planner.isStopped(), "the planner waits for the long run");
        sim.runUntil(sim.now + 2 * SECOND + 100 * MS);
        assertTrue(sim.planner.isStopped());
        assertEquals(
                List.of(
                        "start long",
                        "evict clean",
                        "start list",
                        "interrupt long",
                        "abandon long"),
                sim.log);
    }

    @Test
    void cancelledTaskDoesNotRunAgain() {
        PlannerSimulation sim = new PlannerSimulation(limits(2, 10));
        sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, SECOND), 50 * MS);
        sim.runUntil(sim.now + 500 * MS);
        int before = sim.startTimesOf("save").size();
        List<Decision> decisions = new ArrayList<>();
        sim.planner.cancel("save", sim.now, decisions);
        sim.perform(decisions);
        sim.runUntil(sim.now + SECOND);
        assertEquals(before, sim.startTimesOf("save").size());
        assertTrue(
                sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, SECOND), MS),
                "the name can be used again");
    }
}
