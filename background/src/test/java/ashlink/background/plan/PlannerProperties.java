package ashlink.background.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.background.plan.Decision.Grant;
import ashlink.background.plan.Decision.Resource;
import ashlink.background.plan.Decision.Start;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Tests properties of {@link Planner} with random events. */
class PlannerProperties {

    private record Added(String name, Priority priority, long atNs) {}

    private record Granted(long atNs, double amount) {}

    /** Sends random events to a planner, with a clock that stands still, jumps and goes back. */
    private static final class Replay {

        private final SplittableRandom random;
        private final Planner planner;
        private final List<Granted> grants = new ArrayList<>();
        private final List<Long> runs = new ArrayList<>();
        private long now = 1L << 40;

        /** Latest time seen, which the planner takes as the current time. */
        private long latest;

        Replay(Limits limits, long seed) {
            random = new SplittableRandom(seed);
            planner = new Planner(limits, seed);
        }

        void step(int index) {
            moveClock();
            sendEvent(index);
            for (Decision decision : planner.decide(now)) {
                if (decision instanceof Start start) {
                    runs.add(start.run());
                } else if (decision instanceof Grant grant) {
                    grants.add(new Granted(latest, grant.amount()));
                }
            }
        }

        private void moveClock() {
            int kind = random.nextInt(20);
            now +=
                    kind == 0
                            ? -random.nextLong(1L << 32)
                            : kind == 1 ? random.nextLong(1L << 36) : random.nextLong(1L << 24);
            latest = Math.max(latest, now);
        }

        private void sendEvent(int index) {
            switch (random.nextInt(6)) {
                case 0 -> addTask(index);
                case 1 -> planner.setPressure(random.nextDouble(), now);
                case 2 -> {
                    if (!runs.isEmpty() && random.nextInt(4) == 0) {
                        long run = runs.remove(random.nextInt(runs.size()));
                        planner.runEnded(run, random.nextBoolean(), now);
                    }
                }
                default -> {
                    if (!runs.isEmpty()) {
                        long run = runs.get(random.nextInt(runs.size()));
                        planner.request(run, Resource.BYTES, 1 + random.nextInt(200_000), now);
                    }
                }
            }
        }

        private void addTask(int index) {
            Priority priority = Priority.values()[random.nextInt(3)];
            TaskSpec spec = TaskSpec.once("t" + index, priority, 1L << 30, 1L << 40);
            planner.add(spec, now, new ArrayList<>());
        }
    }

    /** Returns all grants of bytes, each with the latest time seen. */
    private static List<Granted> replay(Limits limits, long seed, int steps) {
        Replay replay = new Replay(limits, seed);
        for (int i = 0; i < steps; i++) {
            replay.step(i);
        }
        return replay.grants;
    }

    @Property(tries = 200, seed = "42")
    void grantsStayWithinTheBudgetInAnyWindow(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 1e3, max = 1e7) double rate,
            @ForAll @DoubleRange(min = 1e3, max = 1e6) double burst,
            @ForAll @IntRange(min = 1, max = 6) int maxConcurrentRuns) {
        List<Granted> grants =
                replay(
                        new Limits(maxConcurrentRuns, 50, 0.25, 20e6, rate, burst, 0.1, 1L << 30),
                        seed,
                        600);
        for (int i = 0; i < grants.size(); i++) {
            double sum = 0;
            for (int j = i; j < grants.size(); j++) {
                sum += grants.get(j).amount;
                double maxBytes = burst + rate * (grants.get(j).atNs - grants.get(i).atNs) / 1e9;
                assertTrue(
                        sum <= maxBytes * (1 + 1e-9),
                        "granted " + sum + " of " + maxBytes + " from grant " + i + " to " + j);
            }
        }
    }

    @Property(tries = 50, seed = "43")
    void sameEventsGiveSameDecisions(@ForAll long seed) {
        Limits limits = new Limits(3, 50, 0.25, 20e6, 1e6, 1e5, 0.1, 1L << 30);
        List<Granted> first = replay(limits, seed, 300);
        assertEquals(first, replay(limits, seed, 300));
    }

    @Property(tries = 100, seed = "44")
    void everyTaskStartsWithinItsSlackAndTheRunsAheadOfIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int maxConcurrentRuns) {
        SplittableRandom random = new SplittableRandom(seed);
        PlannerTest.PlannerSimulation sim =
                new PlannerTest.PlannerSimulation(PlannerTest.limits(maxConcurrentRuns, 10_000));
        List<Added> additions = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Priority priority = Priority.values()[random.nextInt(3)];
            additions.add(new Added("t" + i, priority, sim.now));
            sim.add(
                    TaskSpec.once("t" + i, priority, 1L << 40, PlannerTest.SECOND),
                    1 + random.nextLong(20 * PlannerTest.MS));
            sim.runUntil(sim.now + 1 + random.nextLong(10 * PlannerTest.MS));
        }
        sim.runUntil(sim.now + 30 * PlannerTest.SECOND);
        for (Added added : additions) {
            long start = sim.startTimesOf(added.name).get(0);
            long ahead =
                    additions.stream()
                            .filter(
                                    other ->
                                            other.atNs + other.priority.slackNs()
                                                    <= added.atNs + added.priority.slackNs())
                            .count();
            long bound = added.atNs + ahead * 20 * PlannerTest.MS + 21 * PlannerTest.MS;
            assertTrue(
                    start
                            <= Math.max(
                                    bound,
                                    added.atNs
                                            + added.priority.slackNs()
                                            + 21 * PlannerTest.MS * ahead),
                    added
                            + " started after "
                            + (start - added.atNs) / 1e6
                            + " ms with "
                            + ahead
                            + " ahead");
        }
    }
}
