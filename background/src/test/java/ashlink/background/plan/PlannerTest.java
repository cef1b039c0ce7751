package ashlink.background.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.background.plan.Decision.Abandon;
import ashlink.background.plan.Decision.Drop;
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

/** Order, budgets, backoff and stop of {@link Planner}, on a simulated clock. */
class PlannerTest {

    static final long MS = 1_000_000L;
    static final long S = 1_000 * MS;

    /** A planner whose runs take a given time, and what it decided when. */
    static final class Sim {
        /** The end of a run. */
        record RunEnd(long run, long atNs) {}

        final Planner planner;
        final Map<String, Long> takes = new HashMap<>();
        final Map<Long, String> started = new HashMap<>();
        final List<String> log = new ArrayList<>();
        final Map<String, List<Long>> starts = new HashMap<>();
        final PriorityQueue<RunEnd> ends =
                new PriorityQueue<>(java.util.Comparator.comparingLong(RunEnd::atNs));
        long now = 1_000 * S;
        int maxRunning;

        Sim(Limits limits) {
            planner = new Planner(limits, 5);
        }

        boolean add(TaskSpec spec, long takesNs) {
            takes.put(spec.name(), takesNs);
            List<Decision> out = new ArrayList<>();
            boolean added = planner.add(spec, now, out);
            perform(out);
            return added;
        }

        void perform(List<Decision> decisions) {
            for (Decision decision : decisions) {
                if (decision instanceof Start start) {
                    started.put(start.run(), start.task());
                    starts.computeIfAbsent(start.task(), text -> new ArrayList<>()).add(now);
                    log.add("start " + start.task());
                    if (takes.get(start.task()) >= 0) {
                        ends.add(new RunEnd(start.run(), now + takes.get(start.task())));
                    }
                } else if (decision instanceof Drop drop) {
                    log.add("drop " + drop.task());
                } else if (decision instanceof Interrupt interrupt) {
                    log.add("interrupt " + started.get(interrupt.run()));
                } else if (decision instanceof Abandon abandon) {
                    log.add("abandon " + started.get(abandon.run()));
                }
            }
            maxRunning = Math.max(maxRunning, planner.running());
        }

        void until(long end) {
            while (now < end) {
                while (!ends.isEmpty() && ends.peek().atNs <= now) {
                    planner.ended(ends.poll().run, true, now);
                }
                perform(planner.decide(now));
                long next = Math.min(end, now + Math.max(1, planner.waitNs(now, S)));
                now = ends.isEmpty() ? next : Math.max(now + 1, Math.min(next, ends.peek().atNs));
            }
        }

        List<Long> startsOf(String task) {
            return starts.getOrDefault(task, List.of());
        }
    }

    private static Limits limits(int atOnce, int waiting) {
        return new Limits(atOnce, waiting, 0.25, 20e6, 1e6, 1e5, 0.1, S);
    }

    @Test
    void aPeriodicTaskStaysWithinItsJitterAndNeverRunsTwiceAtOnce() {
        Sim sim = new Sim(limits(2, 10));
        sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, S), 10 * MS);
        sim.until(sim.now + 10 * S);
        List<Long> starts = sim.startsOf("save");
        assertTrue(starts.size() > 90 && starts.size() < 110, starts.size() + " runs in 10 s");
        for (int i = 1; i < starts.size(); i++) {
            long gap = starts.get(i) - starts.get(i - 1);
            assertTrue(gap >= 90 * MS && gap <= 111 * MS, "a gap of " + gap);
        }
        assertTrue(
                starts.stream().map(t -> t % (100 * MS)).distinct().count() > 20,
                "jitter moves them");
        assertEquals(1, sim.maxRunning);
    }

    @Test
    void thousandsDueAtOnceRunByDeadlineWithinTheSlots() {
        Sim sim = new Sim(limits(3, 5_000));
        for (int i = 0; i < 4_000; i++) {
            assertTrue(
                    sim.add(
                            TaskSpec.once(
                                    "t" + i, i % 2 == 0 ? Priority.LOW : Priority.NORMAL, S, S),
                            MS));
        }
        sim.add(TaskSpec.once("urgent", Priority.HIGH, S, S), MS);
        sim.until(sim.now + MS);
        assertTrue(sim.log.contains("start urgent"), "the last place is for high priority");
        sim.until(sim.now + 5 * S);
        assertEquals(4_001, sim.started.size());
        assertEquals(3, sim.maxRunning);
        int lastNormal = sim.log.lastIndexOf("start t3999");
        assertTrue(
                sim.log.indexOf("start t0") > lastNormal,
                "normal work of that time goes before low");
    }

    @Test
    void aStreamOfUrgentWorkCannotStarveWhatWaits() {
        Sim sim = new Sim(limits(1, 100));
        sim.add(TaskSpec.every("report", Priority.LOW, 30 * S, S), 50 * MS);
        long from = sim.now;
        int count = 0;
        while (sim.now < from + 120 * S) {
            sim.add(
                    TaskSpec.once("u" + count++, Priority.HIGH, S, S),
                    10 * MS); // more than the one place can run
            sim.until(sim.now + 9 * MS);
        }
        List<Long> starts = sim.startsOf("report");
        assertTrue(starts.size() >= 2, starts.size() + " reports");
        assertTrue(
                starts.get(0) - from <= 33 * S + Priority.LOW.slackNs() + 100 * 10 * MS + 20 * MS,
                "after its slack only those ahead of it go first: "
                        + (starts.get(0) - from) / MS
                        + " ms");
    }

    @Test
    void aFullQueueEvictsTheLeastImportant() {
        Sim sim = new Sim(limits(1, 3));
        sim.add(TaskSpec.once("running", Priority.NORMAL, S, S), S);
        sim.until(sim.now + MS);
        assertTrue(sim.add(TaskSpec.once("low", Priority.LOW, S, S), MS));
        assertTrue(sim.add(TaskSpec.once("normal", Priority.NORMAL, S, S), MS));
        assertTrue(sim.add(TaskSpec.once("high", Priority.HIGH, S, S), MS));
        assertFalse(
                sim.add(TaskSpec.once("low too", Priority.LOW, S, S), MS),
                "the least gives way at once");
        assertTrue(sim.add(TaskSpec.once("high 2", Priority.HIGH, S, S), MS));
        assertTrue(sim.add(TaskSpec.once("high 3", Priority.HIGH, S, S), MS));
        assertFalse(
                sim.add(TaskSpec.once("high 4", Priority.HIGH, S, S), MS),
                "nothing less important is left");
        assertEquals(List.of("start running", "drop low", "drop normal"), sim.log);
    }

    @Test
    void underPressureLowWorkIsPostponedAndBudgetsShrink() {
        Sim sim = new Sim(limits(2, 10));
        sim.planner.pressure(1, sim.now);
        sim.add(TaskSpec.once("report", Priority.LOW, 5 * S, S), MS);
        sim.add(TaskSpec.once("save", Priority.NORMAL, 5 * S, S), MS);
        long from = sim.now;
        sim.until(from + 10 * S);
        assertEquals(from, sim.startsOf("save").get(0));
        assertEquals(
                from + 5 * S,
                sim.startsOf("report").get(0),
                "after its longest delay it starts all the same");
        sim.add(TaskSpec.once("copy", Priority.NORMAL, 5 * S, 100 * S), -1);
        sim.until(sim.now + MS);
        long run =
                sim.started.entrySet().stream()
                        .filter(entry -> entry.getValue().equals("copy"))
                        .findFirst()
                        .orElseThrow()
                        .getKey();
        long began = grantTime(sim, run, 100_000 + 200_000);
        assertEquals(2 * S, sim.now - began, 20 * MS, "a tenth of 1 MB a second is left");
    }

    /** Requests until that many bytes were granted, and returns when it began. */
    private static long grantTime(Sim sim, long run, double bytes) {
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
    void aFailingTaskBacksOffExponentiallyAndAHangingOneLosesItsSlot() {
        Sim sim = new Sim(limits(1, 10));
        sim.add(TaskSpec.every("bad", Priority.NORMAL, S, S), -1);
        sim.until(sim.now + 2 * S);
        for (int i = 0; i < 12; i++) {
            long run = sim.started.keySet().stream().max(Long::compare).orElseThrow();
            sim.planner.ended(run, false, sim.now);
            sim.until(sim.now + (2L << Math.min(i, 6)) * S + 2 * S);
        }
        List<Long> starts = sim.startsOf("bad");
        assertTrue(
                starts.get(3) - starts.get(2) >= 4 * S && starts.get(7) - starts.get(6) >= 64 * S,
                starts.toString());

        Sim hang = new Sim(limits(1, 10));
        hang.add(TaskSpec.every("hang", Priority.NORMAL, 100 * MS, S), -1);
        hang.add(TaskSpec.every("other", Priority.NORMAL, 100 * MS, S), MS);
        hang.until(hang.now + 4 * S);
        assertEquals(1, hang.startsOf("hang").size(), "not again while it hangs");
        assertTrue(hang.log.contains("interrupt hang") && hang.log.contains("abandon hang"));
        assertTrue(hang.startsOf("other").size() > 15, "its place went to the other");
    }

    @Test
    void aClockThatJumpsGivesOneRunAndNoBudgetTwice() {
        Sim sim = new Sim(limits(2, 10));
        sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, S), MS);
        sim.until(sim.now + S);
        int before = sim.startsOf("save").size();
        sim.now += 3_600 * S;
        sim.until(sim.now + 50 * MS);
        assertEquals(before + 1, sim.startsOf("save").size(), "what was missed is one run");
        assertTrue(sim.planner.missed("save") > 30_000);
        long forth = sim.now;
        sim.now -= 1_800 * S;
        sim.perform(sim.planner.decide(sim.now));
        assertEquals(before + 1, sim.startsOf("save").size());
        sim.now = forth;
        sim.until(forth + S);
        assertTrue(sim.startsOf("save").size() > before + 7, "and on it goes");
    }

    @Test
    void aStopStartsFinalRunsWaitsAndThenInterrupts() {
        Sim sim = new Sim(limits(3, 10));
        sim.add(TaskSpec.every("list", Priority.HIGH, 100 * S, S).alsoAtStop(), 10 * MS);
        sim.add(TaskSpec.every("clean", Priority.NORMAL, 100 * S, S), 10 * MS);
        sim.add(TaskSpec.once("long", Priority.NORMAL, S, 100 * S), -1);
        sim.until(sim.now + 10 * MS);
        List<Decision> out = new ArrayList<>();
        sim.planner.stop(sim.now, 2 * S, out);
        sim.perform(out);
        assertFalse(sim.add(TaskSpec.once("late", Priority.HIGH, S, S), MS));
        sim.until(sim.now + S);
        assertFalse(sim.planner.isStopped(), "the long one is waited for");
        sim.until(sim.now + 2 * S + 100 * MS);
        assertTrue(sim.planner.isStopped());
        assertEquals(
                List.of("start long", "drop clean", "start list", "interrupt long", "abandon long"),
                sim.log);
    }

    @Test
    void aCancelledTaskDoesNotRunAgain() {
        Sim sim = new Sim(limits(2, 10));
        sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, S), 50 * MS);
        sim.until(sim.now + 500 * MS);
        int before = sim.startsOf("save").size();
        List<Decision> out = new ArrayList<>();
        sim.planner.cancel("save", sim.now, out);
        sim.perform(out);
        sim.until(sim.now + S);
        assertEquals(before, sim.startsOf("save").size());
        assertTrue(
                sim.add(TaskSpec.every("save", Priority.NORMAL, 100 * MS, S), MS),
                "the name is free again");
    }
}
