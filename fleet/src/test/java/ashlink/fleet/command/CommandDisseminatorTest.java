package ashlink.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the dissemination of commands among simulated routers. */
class CommandDisseminatorTest {

    private static OperatorCommand command(String owner, long revision, Intent intent) {
        return new OperatorCommand("engine:q1", owner, revision, intent, owner, "");
    }

    @Test
    void drainReachesAllSurvivingRoutersDespiteLossAndDeathOfAReceiver() {
        for (long seed = 1; seed <= 5; seed++) {
            DisseminationSimulation simulation = new DisseminationSimulation(300, 0.05, seed);
            simulation.run(2_000);
            long submittedMs = simulation.nowMs;
            simulation.submit("r1", command("ann", 1, Intent.DRAIN));
            simulation.submit("r2", command("ann", 1, Intent.DRAIN));
            simulation.dead.add("r1");
            simulation.run(10_000);
            assertEquals(Map.of("DRAIN", 299L), simulation.countByIntent("engine:q1"));
            assertTrue(
                    simulation.lastReceivedMs() - submittedMs < 2_000,
                    "last router received the drain after "
                            + (simulation.lastReceivedMs() - submittedMs)
                            + " ms");
        }
    }

    @Test
    void concurrentDrainAndUndrainConvergeAfterPartitionInEitherOrder() {
        for (boolean drainLast : new boolean[] {true, false}) {
            DisseminationSimulation simulation = new DisseminationSimulation(24, 0.05, 7);
            simulation.submit("r0", command("ann", 1, Intent.DRAIN));
            simulation.run(5_000);
            assertEquals(Map.of("DRAIN", 24L), simulation.countByIntent("engine:q1"));
            simulation.linkWorks =
                    (from, to) ->
                            Integer.parseInt(from.substring(1)) < 12
                                    == Integer.parseInt(to.substring(1)) < 12;
            simulation.submit(
                    drainLast ? "r20" : "r3",
                    command("ann", 2, Intent.NONE)); // both sides of the partition issue revision 2
            simulation.run(500);
            simulation.submit(drainLast ? "r3" : "r20", command("ann", 2, Intent.DRAIN));
            simulation.run(60_000);
            assertEquals(
                    Map.of("DRAIN", 12L, "NONE", 12L),
                    simulation.countByIntent("engine:q1"),
                    "each side of the partition has its own command in force");
            simulation.linkWorks = (from, to) -> true;
            simulation.run(15_000);
            assertEquals(
                    Map.of("DRAIN", 24L),
                    simulation.countByIntent("engine:q1"),
                    "of two commands with the same revision the stronger is in force");
            simulation.submit("r5", command("ann", 3, Intent.NONE));
            simulation.run(5_000);
            assertEquals(Map.of("NONE", 24L), simulation.countByIntent("engine:q1"));
        }
    }

    @Test
    void routerWithoutInboundMessagesConvergesOnceItReceivesThem() {
        DisseminationSimulation simulation = new DisseminationSimulation(24, 0.01, 9);
        // Router r7 can send messages but receives none.
        simulation.linkWorks = (from, to) -> !to.equals("r7");
        simulation.submit("r0", command("ann", 1, Intent.DRAIN));
        simulation.run(60_000);
        assertEquals(
                Intent.NONE, simulation.intent("r7", "engine:q1"), "r7 has not received the drain");
        simulation.linkWorks = (from, to) -> true;
        simulation.run(10_000);
        assertEquals(Intent.DRAIN, simulation.intent("r7", "engine:q1"));
    }

    @Test
    void commandReachesThousandRoutersUnderLoss() {
        for (double loss : new double[] {0.01, 0.05, 0.2}) {
            DisseminationSimulation simulation = new DisseminationSimulation(1_000, loss, 3);
            simulation.run(2_000);
            long submittedMs = simulation.nowMs;
            long messagesBefore = simulation.messages;
            simulation.submit("r0", command("ann", 1, Intent.DRAIN));
            simulation.run(500);
            long receivedCount = simulation.countByIntent("engine:q1").getOrDefault("DRAIN", 0L);
            long messages = simulation.messages - messagesBefore;
            simulation.run(20_000);
            System.out.printf(
                    "1000 routers, %.0f%% loss: %d received a command after 500 ms, all"
                            + " after %d ms; %d messages in the first 500 ms%n",
                    loss * 100, receivedCount, simulation.lastReceivedMs() - submittedMs, messages);
            assertEquals(Map.of("DRAIN", 1_000L), simulation.countByIntent("engine:q1"));
        }
    }
}
