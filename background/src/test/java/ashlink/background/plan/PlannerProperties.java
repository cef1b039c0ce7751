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

class PlannerProperties {

    private record Given(long atNs, double amount) {}

    /**
     * Runs that ask, on a clock that stands, jumps and goes back; all grants of bytes with the
     * greatest time seen.
     */
    private static List<Given> story(Limits limits, long seed, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        Planner planner = new Planner(limits, seed);
        List<Given> given = new ArrayList<>();
        List<Long> runs = new ArrayList<>();
        long now = 1L << 40;
        long greatest = 0; // what the planner takes for the time
        for (int i = 0; i < steps; i++) {
            int what = random.nextInt(20);
            now +=
                    what == 0
                            ? -random.nextLong(1L << 32)
                            : what == 1 ? random.nextLong(1L << 36) : random.nextLong(1L << 24);
            greatest = Math.max(greatest, now);
            List<Decision> out = new ArrayList<>();
            switch (random.nextInt(6)) {
                case 0 ->
                        planner.add(
                                TaskSpec.once(
                                        "t" + i,
                                        Priority.values()[random.nextInt(3)],
                                        1L << 30,
                                        1L << 40),
                                now,
                                out);
                case 1 -> planner.pressure(random.nextDouble(), now);
                case 2 -> {
                    if (!runs.isEmpty() && random.nextInt(4) == 0) {
                        planner.ended(
                                runs.remove(random.nextInt(runs.size())),
                                random.nextBoolean(),
                                now);
                    }
                }
                default -> {
                    if (!runs.isEmpty()) {
                        planner.ask(
                                runs.get(random.nextInt(runs.size())),
                                Resource.BYTES,
                                1 + random.nextInt(200_000),
                                now);
                    }
                }
            }
            for (Decision decision : planner.decide(now)) {
                if (decision instanceof Start start) {
                    runs.add(start.run());
                } else if (decision instanceof Grant grant) {
                    given.add(new Given(greatest, grant.amount()));
                }
            }
        }
        return given;
    }

    @Property(tries = 200, seed = "42")
    void noBudgetIsOverspentInAnyWindow(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 1e3, max = 1e7) double rate,
            @ForAll @DoubleRange(min = 1e3, max = 1e6) double burst,
            @ForAll @IntRange(min = 1, max = 6) int atOnce) {
        List<Given> given =
                story(new Limits(atOnce, 50, 0.25, 20e6, rate, burst, 0.1, 1L << 30), seed, 600);
        for (int i = 0; i < given.size(); i++) {
            double sum = 0;
            for (int j = i; j < given.size(); j++) {
                sum += given.get(j).amount;
                double most = burst + rate * (given.get(j).atNs - given.get(i).atNs) / 1e9;
                assertTrue(
                        sum <= most * (1 + 1e-9),
                        "given " + sum + " of " + most + " from grant " + i + " to " + j);
            }
        }
    }

    @Property(tries = 50, seed = "43")
    void theSameStoryGivesTheSameDecisions(@ForAll long seed) {
        Limits limits = new Limits(3, 50, 0.25, 20e6, 1e6, 1e5, 0.1, 1L << 30);
        List<Given> once = story(limits, seed, 300);
        assertEquals(once, story(limits, seed, 300));
    }

    @Property(tries = 100, seed = "44")
    void eachRunStartsWithinItsSlackAndTheRunsAheadOfIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int atOnce) {
        SplittableRandom random = new SplittableRandom(seed);
        PlannerTest.Sim sim =
                new PlannerTest.Sim(
                        new Limits(atOnce, 10_000, 0.25, 20e6, 1e6, 1e5, 0.1, PlannerTest.S));
        record Asked(String name, Priority priority, long atNs) {}
        List<Asked> asked = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Priority p = Priority.values()[random.nextInt(3)];
            asked.add(new Asked("t" + i, p, sim.now));
            sim.add(
                    TaskSpec.once("t" + i, p, 1L << 40, PlannerTest.S),
                    1 + random.nextLong(20 * PlannerTest.MS));
            sim.until(sim.now + 1 + random.nextLong(10 * PlannerTest.MS));
        }
        sim.until(sim.now + 30 * PlannerTest.S);
        for (Asked a : asked) {
            long start = sim.startsOf(a.name).get(0);
            long ahead =
                    asked.stream()
                            .filter(
                                    b ->
                                            b.atNs + b.priority.slackNs()
                                                    <= a.atNs + a.priority.slackNs())
                            .count();
            long bound = a.atNs + ahead * 20 * PlannerTest.MS + 21 * PlannerTest.MS;
            assertTrue(
                    start
                            <= Math.max(
                                    bound,
                                    a.atNs + a.priority.slackNs() + 21 * PlannerTest.MS * ahead),
                    a
                            + " started after "
                            + (start - a.atNs) / 1e6
                            + " ms with "
                            + ahead
                            + " ahead");
        }
    }
}
