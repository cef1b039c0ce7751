package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import org.junit.jupiter.api.Test;

/**
 * 1,000 routers in simulated time; not part of CI: {@code mvn -pl fleet -am test -Dtest=SwimRun
 * -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class SwimRun {

    private static final long S = MembershipSimulation.S;

    private static final int MEMBERS = 1_000;

    @Test
    void thousandMembers() {
        for (double loss : new double[] {0.01, 0.05, 0.2}) {
            measure(loss);
        }
    }

    private static void measure(double loss) {
        MembershipSimulation sim = new MembershipSimulation(MEMBERS, loss, 1);
        sim.run(10 * S);
        long messages = sim.messages;
        sim.run(20 * S);
        double each = (sim.messages - messages) / 20.0 / MEMBERS;
        long alarms = sim.members.values().stream().mapToLong(Swim::refutedSuspicions).sum();
        long wrong = sim.wronglyDead();
        sim.dead.add("r0500");
        long from = sim.now;
        double first = 0;
        double half = 0;
        while (sim.countInState("r0500", State.DEAD) < MEMBERS - 1 && sim.now - from < 120 * S) {
            sim.run(S / 10);
            long suspects =
                    sim.countInState("r0500", State.SUSPECT)
                            + sim.countInState("r0500", State.DEAD);
            first = first == 0 && suspects > 0 ? (sim.now - from) / 1e9 : first;
            half =
                    half == 0 && sim.countInState("r0500", State.DEAD) > MEMBERS / 2
                            ? (sim.now - from) / 1e9
                            : half;
        }
        System.out.printf(
                "%d routers, %.0f%% loss: %.1f messages a router a second; in 30 s %d"
                        + " suspicions refuted, %d wrongly dead; one dies: first suspected"
                        + " after %.1f s (paper: mean e/(e-1) periods = %.2f s), dead for half"
                        + " after %.1f s, for all after %.1f s; at most %d updates a message%n",
                MEMBERS,
                loss * 100,
                each,
                alarms,
                wrong,
                first,
                Math.E / (Math.E - 1) * SwimConfig.DEFAULT.periodNs() / 1e9,
                half,
                (sim.now - from) / 1e9,
                sim.maxUpdates);
    }
}
