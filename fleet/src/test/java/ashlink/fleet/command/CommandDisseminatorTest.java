package ashlink.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Dissemination of commands among simulated routers. */
class CommandDisseminatorTest {

    private static OperatorCommand command(String owner, long revision, Intent intent) {
        return new OperatorCommand("engine:q1", owner, revision, intent, owner, "");
    }

    @Test
    void drainReachesAllSurvivorsDespiteLossAndDeathOfAReceiver() {
        for (long seed = 1; seed <= 5; seed++) {
            DisseminationSimulation sim = new DisseminationSimulation(300, 0.05, seed);
            sim.run(2_000);
            long from = sim.nowMs;
            sim.submit("r1", command("ann", 1, Intent.DRAIN));
            sim.submit("r2", command("ann", 1, Intent.DRAIN));
            sim.dead.add("r1");
            sim.run(10_000);
            assertEquals(Map.of("DRAIN", 299L), sim.countByIntent("engine:q1"));
            assertTrue(
                    sim.lastReceivedMs() - from < 2_000,
                    "the last after " + (sim.lastReceivedMs() - from) + " ms");
        }
    }

    @Test
    void concurrentDrainAndUndrainConvergeAfterPartitionInEitherOrder() {
        for (boolean drainLast : new boolean[] {true, false}) {
            DisseminationSimulation sim = new DisseminationSimulation(24, 0.05, 7);
            sim.submit("r0", command("ann", 1, Intent.DRAIN));
            sim.run(5_000);
            assertEquals(Map.of("DRAIN", 24L), sim.countByIntent("engine:q1"));
            sim.passes =
                    (a, b) ->
                            Integer.parseInt(a.substring(1)) < 12
                                    == Integer.parseInt(b.substring(1)) < 12;
            sim.submit(
                    drainLast ? "r20" : "r3",
                    command("ann", 2, Intent.NONE)); // both sides issue revision 2
            sim.run(500);
            sim.submit(drainLast ? "r3" : "r20", command("ann", 2, Intent.DRAIN));
            sim.run(60_000);
            assertEquals(
                    Map.of("DRAIN", 12L, "NONE", 12L),
                    sim.countByIntent("engine:q1"),
                    "each side has its own");
            sim.passes = (a, b) -> true;
            sim.run(15_000);
            assertEquals(
                    Map.of("DRAIN", 24L),
                    sim.countByIntent("engine:q1"),
                    "the stronger of the same revision");
            sim.submit("r5", command("ann", 3, Intent.NONE));
            sim.run(5_000);
            assertEquals(Map.of("NONE", 24L), sim.countByIntent("engine:q1"));
        }
    }

    @Test
    void routerWithoutInboundMessagesConvergesOnceItReceivesThem() {
        DisseminationSimulation sim = new DisseminationSimulation(24, 0.01, 9);
        sim.passes = (a, b) -> !b.equals("r7"); // it is heard, and hears nothing
        sim.submit("r0", command("ann", 1, Intent.DRAIN));
        sim.run(60_000);
        assertEquals(
                Intent.NONE, sim.intent("r7", "engine:q1"), "what cannot be told is not known");
        sim.passes = (a, b) -> true;
        sim.run(10_000);
        assertEquals(Intent.DRAIN, sim.intent("r7", "engine:q1"));
    }

    @Test
    void commandReachesThousandRoutersUnderLoss() {
        for (double loss : new double[] {0.01, 0.05, 0.2}) {
            DisseminationSimulation sim = new DisseminationSimulation(1_000, loss, 3);
            sim.run(2_000);
            long from = sim.nowMs;
            long before = sim.messages;
            sim.submit("r0", command("ann", 1, Intent.DRAIN));
            sim.run(500);
            long told = sim.countByIntent("engine:q1").getOrDefault("DRAIN", 0L);
            long messages = sim.messages - before;
            sim.run(20_000);
            System.out.printf(
                    "1000 routers, %.0f%% loss: %d know a notice after 500 ms, all after %d ms; %d"
                            + " messages in the first 500 ms%n",
                    loss * 100, told, sim.lastReceivedMs() - from, messages);
            assertEquals(Map.of("DRAIN", 1_000L), sim.countByIntent("engine:q1"));
        }
    }
}
