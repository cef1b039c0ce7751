package ashlink.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.fleet.membership.MembershipUpdate.State;
import org.junit.jupiter.api.Test;

/** Tests SWIM among simulated members. */
class SwimTest {

    private static final long NS_PER_S = MembershipSimulation.NS_PER_S;

    @Test
    void failedMemberIsDeclaredDeadByAllAndNoOtherIs() {
        MembershipSimulation simulation = new MembershipSimulation(24, 0.01, 1);
        simulation.run(10 * NS_PER_S);
        assertEquals(0, simulation.countWronglyDead());
        simulation.dead.add("r0007");
        simulation.run(15 * NS_PER_S);
        assertEquals(23, simulation.countInState("r0007", State.DEAD));
        assertEquals(0, simulation.countWronglyDead());
        assertTrue(
                simulation.maxUpdates <= SwimConfig.DEFAULT.maxUpdatesPerMessage() + 1,
                "the number of updates per message is bounded");
    }

    @Test
    void sameSeedGivesSameRun() {
        MembershipSimulation first = new MembershipSimulation(24, 0.05, 3);
        MembershipSimulation second = new MembershipSimulation(24, 0.05, 3);
        first.run(20 * NS_PER_S);
        second.run(20 * NS_PER_S);
        assertEquals(first.messages, second.messages);
        first.members.forEach(
                (member, swim) ->
                        assertEquals(swim.members(), second.members.get(member).members()));
    }

    @Test
    void membershipConvergesAfterPartition() {
        MembershipSimulation simulation = new MembershipSimulation(24, 0.01, 2);
        simulation.run(5 * NS_PER_S);
        simulation.linkWorks =
                (from, to) ->
                        (Integer.parseInt(from.substring(1)) < 12)
                                == (Integer.parseInt(to.substring(1)) < 12);
        simulation.run(60 * NS_PER_S);
        assertEquals(
                2 * 12 * 12,
                simulation.countWronglyDead(),
                "each side of the partition declares the other dead");
        simulation.linkWorks = (from, to) -> true;
        simulation.run(40 * NS_PER_S);
        assertEquals(0, simulation.countWronglyDead());
    }

    @Test
    void pingReqsPreventSuspicionAcrossOneWayLinkFailure() {
        MembershipSimulation simulation = new MembershipSimulation(24, 0.01, 4);
        simulation.linkWorks = (from, to) -> !(from.equals("r0001") && to.equals("r0002"));
        simulation.run(60 * NS_PER_S);
        assertEquals(0, simulation.countWronglyDead(), "ping-reqs bypass the failed link");
    }

    @Test
    void pausedMemberRejoinsWithoutDeclaringOthersDead() {
        MembershipSimulation simulation = new MembershipSimulation(24, 0.01, 5);
        simulation.run(5 * NS_PER_S);
        simulation.paused.add("r0003");
        simulation.run(30 * NS_PER_S);
        assertEquals(23, simulation.countInState("r0003", State.DEAD));
        simulation.paused.remove("r0003");
        simulation.run(NS_PER_S);
        assertEquals(
                0,
                simulation.members.get("r0003").members().values().stream()
                        .filter(update -> update.state() == State.DEAD)
                        .count());
        simulation.run(30 * NS_PER_S);
        assertEquals(0, simulation.countWronglyDead());
    }

    @Test
    void membersStartedTogetherConverge() {
        MembershipSimulation simulation = new MembershipSimulation(48, 0.05, 6);
        simulation.run(20 * NS_PER_S);
        assertEquals(0, simulation.countWronglyDead());
    }
}
