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

/** Properties of {@link Planner} over random events. */
class PlannerProperties {

    private record Added(String name, Priority priority, long atNs) {}

    private record Granted(long atNs, double amount) {}

    /** Random runs with requests, on a clock that stands, jumps and goes back. */
    private static final class Replay {

        private final SplittableRandom random;
        private final Planner planner;
        private final List<Granted> grants = new ArrayList<>();
        private final List<Long> runs = new ArrayList<>();
        private long now = 1L << 40;
        private long greatest; // what the planner takes for the time

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
                    grants.add(new Granted(greatest, grant.amount()));
                }
            }
        }

        private void moveClock() {
            int kind = random.nextInt(20);
            now +=
                    kind == 0
                            ? -random.nextLong(1L << 32)
                            : kind == 1 ? random.nextLong(1L << 36) : random.nextLong(1L << 24);
            greatest = Math.max(greatest, now);
        }

        private void sendEvent(int index) {
            switch (random.nextInt(6)) {
                case 0 -> addTask(index);
                case 1 -> planner.pressure(random.nextDouble(), now);
                case 2 -> {
                    if (!runs.isEmpty() && random.nextInt(4) == 0) {
                        long run = runs.remove(random.nextInt(runs.size()));
                        planner.ended(run, random.nextBoolean(), now);
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

    /** All grants of bytes, each with the greatest time seen. */
    private static List<Granted> replay(Limits limits, long seed, int steps) {
        Replay replay = new Replay(limits, seed);
        for (int i = 0; i < steps; i++) {
            replay.step(i);
        }
        return replay.grants;
    }

    @Property(tries = 200, seed = "42")
    void noBudgetIsOverspentInAnyWindow(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 1e3, max = 1e7) double rate,
            @ForAll @DoubleRange(min = 1e3, max = 1e6) double burst,
            @ForAll @IntRange(min = 1, max = 6) int atOnce) {
        List<Granted> grants =
                replay(new Limits(atOnce, 50, 0.25, 20e6, rate, burst, 0.1, 1L << 30), seed, 600);
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
        List<Granted> once = replay(limits, seed, 300);
        assertEquals(once, replay(limits, seed, 300));
    }

    @Property(tries = 100, seed = "44")
    void eachRunStartsWithinItsSlackAndTheRunsAheadOfIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int atOnce) {
        SplittableRandom random = new SplittableRandom(seed);
        PlannerTest.Sim sim =
                new PlannerTest.Sim(
                        new Limits(atOnce, 10_000, 0.25, 20e6, 1e6, 1e5, 0.1, PlannerTest.S));
        List<Added> additions = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Priority priority = Priority.values()[random.nextInt(3)];
            additions.add(new Added("t" + i, priority, sim.now));
            sim.add(
                    TaskSpec.once("t" + i, priority, 1L << 40, PlannerTest.S),
                    1 + random.nextLong(20 * PlannerTest.MS));
            sim.until(sim.now + 1 + random.nextLong(10 * PlannerTest.MS));
        }
        sim.until(sim.now + 30 * PlannerTest.S);
        for (Added added : additions) {
            long start = sim.startsOf(added.name).get(0);
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
