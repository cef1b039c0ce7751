package ashlink.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CommandDisseminatorTest {

    private static OperatorCommand notice(String owner, long revision, Intent intent) {
        return new OperatorCommand("engine:q1", owner, revision, intent, owner, "");
    }

    @Test
    void aDrainReachesAllOfManyWithinTheGraceThoughHalfOfTheToldDieAndMessagesAreLost() {
        for (long seed = 1; seed <= 5; seed++) {
            DisseminationSimulation sim = new DisseminationSimulation(300, 0.05, seed);
            sim.run(2_000);
            long from = sim.nowMs;
            sim.tell("r1", notice("ann", 1, Intent.DRAIN));
            sim.tell("r2", notice("ann", 1, Intent.DRAIN));
            sim.dead.add("r1");
            sim.run(10_000);
            assertEquals(Map.of("DRAIN", 299L), sim.holding("engine:q1"));
            assertTrue(
                    sim.lastLearntMs() - from < 2_000,
                    "the last after " + (sim.lastLearntMs() - from) + " ms");
        }
    }

    @Test
    void drainAndUndrainOnBothSidesOfACutHealTheSameWhicheverComesFirst() {
        for (boolean drainLast : new boolean[] {true, false}) {
            DisseminationSimulation sim = new DisseminationSimulation(24, 0.05, 7);
            sim.tell("r0", notice("ann", 1, Intent.DRAIN));
            sim.run(5_000);
            assertEquals(Map.of("DRAIN", 24L), sim.holding("engine:q1"));
            sim.passes =
                    (a, b) ->
                            Integer.parseInt(a.substring(1)) < 12
                                    == Integer.parseInt(b.substring(1)) < 12;
            sim.tell(
                    drainLast ? "r20" : "r3",
                    notice("ann", 2, Intent.NONE)); // both sides issue revision 2
            sim.run(500);
            sim.tell(drainLast ? "r3" : "r20", notice("ann", 2, Intent.DRAIN));
            sim.run(60_000);
            assertEquals(
                    Map.of("DRAIN", 12L, "NONE", 12L),
                    sim.holding("engine:q1"),
                    "each side has its own");
            sim.passes = (a, b) -> true;
            sim.run(15_000);
            assertEquals(
                    Map.of("DRAIN", 24L),
                    sim.holding("engine:q1"),
                    "the stronger of the same revision");
            sim.tell("r5", notice("ann", 3, Intent.NONE));
            sim.run(5_000);
            assertEquals(Map.of("NONE", 24L), sim.holding("engine:q1"));
        }
    }

    @Test
    void oneThatHearsNobodyLearnsOnceItDoes() {
        DisseminationSimulation sim = new DisseminationSimulation(24, 0.01, 9);
        sim.passes = (a, b) -> !b.equals("r7"); // it is heard, and hears nothing
        sim.tell("r0", notice("ann", 1, Intent.DRAIN));
        sim.run(60_000);
        assertEquals(
                Intent.NONE, sim.intent("r7", "engine:q1"), "what cannot be told is not known");
        sim.passes = (a, b) -> true;
        sim.run(10_000);
        assertEquals(Intent.DRAIN, sim.intent("r7", "engine:q1"));
    }

    @Test
    void aThousandAreToldOfOneNoticeInATimeThatDoesNotGrowWithThem() {
        for (double loss : new double[] {0.01, 0.05, 0.2}) {
            DisseminationSimulation sim = new DisseminationSimulation(1_000, loss, 3);
            sim.run(2_000);
            long from = sim.nowMs;
            long before = sim.messages;
            sim.tell("r0", notice("ann", 1, Intent.DRAIN));
            sim.run(500);
            long told = sim.holding("engine:q1").getOrDefault("DRAIN", 0L);
            long messages = sim.messages - before;
            sim.run(20_000);
            System.out.printf(
                    "1000 routers, %.0f%% loss: %d know a notice after 500 ms, all after %d ms; %d"
                            + " messages in the first 500 ms%n",
                    loss * 100, told, sim.lastLearntMs() - from, messages);
            assertEquals(Map.of("DRAIN", 1_000L), sim.holding("engine:q1"));
        }
    }
}
