package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import org.junit.jupiter.api.Test;

/**
 * Measures SWIM with 1,000 routers in simulated time. Not part of CI; run with {@code mvn -pl fleet
 * -am test -Dtest=SwimRun -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class SwimRun {

    private static final long NS_PER_S = MembershipSimulation.NS_PER_S;

    private static final int MEMBERS = 1_000;

    @Test
    void measureThousandMembers() {
        for (double loss : new double[] {0.01, 0.05, 0.2}) {
            measure(loss);
        }
    }

    private static void measure(double loss) {
        MembershipSimulation simulation = new MembershipSimulation(MEMBERS, loss, 1);
        simulation.run(10 * NS_PER_S);
        long messagesBefore = simulation.messages;
        simulation.run(20 * NS_PER_S);
        double messagesPerMemberAndS = (simulation.messages - messagesBefore) / 20.0 / MEMBERS;
        long refuted =
                simulation.members.values().stream().mapToLong(Swim::refutedSuspicions).sum();
        long wronglyDead = simulation.countWronglyDead();
        simulation.dead.add("r0500");
        long diedNs = simulation.nowNs;
        double firstSuspectedS = 0;
        double halfDeadS = 0;
        while (simulation.countInState("r0500", State.DEAD) < MEMBERS - 1
                && simulation.nowNs - diedNs < 120 * NS_PER_S) {
            simulation.run(NS_PER_S / 10);
            double elapsedS = (simulation.nowNs - diedNs) / 1e9;
            long dead = simulation.countInState("r0500", State.DEAD);
            long suspects = simulation.countInState("r0500", State.SUSPECT) + dead;
            firstSuspectedS = firstSuspectedS == 0 && suspects > 0 ? elapsedS : firstSuspectedS;
            halfDeadS = halfDeadS == 0 && dead > MEMBERS / 2 ? elapsedS : halfDeadS;
        }
        System.out.printf(
                "%d routers, %.0f%% loss: %.1f messages per router per second; in 30 s %d"
                    + " suspicions refuted, %d wrongly declared dead; after the death of one"
                    + " router: first suspected after %.1f s (SWIM paper: mean e/(e-1) periods ="
                    + " %.2f s), declared dead by half after %.1f s, by all after %.1f s; at most"
                    + " %d updates per message%n",
                MEMBERS,
                loss * 100,
                messagesPerMemberAndS,
                refuted,
                wronglyDead,
                firstSuspectedS,
                Math.E / (Math.E - 1) * SwimConfig.DEFAULT.periodNs() / 1e9,
                halfDeadS,
                (simulation.nowNs - diedNs) / 1e9,
                simulation.maxUpdates);
    }
}
