package ashlink.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.fleet.membership.MembershipUpdate.State;
import org.junit.jupiter.api.Test;

/** SWIM among simulated members. */
class SwimTest {

    private static final long S = MembershipSimulation.S;

    @Test
    void failedMemberIsDeclaredDeadByAllAndNoOtherIs() {
        MembershipSimulation sim = new MembershipSimulation(24, 0.01, 1);
        sim.run(10 * S);
        assertEquals(0, sim.wronglyDead());
        sim.dead.add("r0007");
        sim.run(15 * S);
        assertEquals(23, sim.countInState("r0007", State.DEAD));
        assertEquals(0, sim.wronglyDead());
        assertTrue(
                sim.maxUpdates <= SwimConfig.DEFAULT.maxUpdatesPerMessage() + 1,
                "messages are bounded");
    }

    @Test
    void sameSeedGivesSameRun() {
        MembershipSimulation first = new MembershipSimulation(24, 0.05, 3);
        MembershipSimulation second = new MembershipSimulation(24, 0.05, 3);
        first.run(20 * S);
        second.run(20 * S);
        assertEquals(first.messages, second.messages);
        first.members.forEach(
                (text, swim) -> assertEquals(swim.members(), second.members.get(text).members()));
    }

    @Test
    void membershipConvergesAfterPartition() {
        MembershipSimulation sim = new MembershipSimulation(24, 0.01, 2);
        sim.run(5 * S);
        sim.passes =
                (from, to) ->
                        (Integer.parseInt(from.substring(1)) < 12)
                                == (Integer.parseInt(to.substring(1)) < 12);
        sim.run(60 * S);
        assertEquals(2 * 12 * 12, sim.wronglyDead(), "each side takes the other for dead");
        sim.passes = (from, to) -> true;
        sim.run(40 * S);
        assertEquals(0, sim.wronglyDead());
    }

    @Test
    void pingReqsPreventSuspicionAcrossOneWayLinkFailure() {
        MembershipSimulation sim = new MembershipSimulation(24, 0.01, 4);
        sim.passes = (from, to) -> !(from.equals("r0001") && to.equals("r0002"));
        sim.run(60 * S);
        assertEquals(0, sim.wronglyDead(), "ping-reqs pass around the failed link");
    }

    @Test
    void pausedMemberRejoinsWithoutDeclaringOthersDead() {
        MembershipSimulation sim = new MembershipSimulation(24, 0.01, 5);
        sim.run(5 * S);
        sim.paused.add("r0003");
        sim.run(30 * S);
        assertEquals(23, sim.countInState("r0003", State.DEAD));
        sim.paused.remove("r0003");
        sim.run(S);
        assertEquals(
                0,
                sim.members.get("r0003").members().values().stream()
                        .filter(membershipUpdate -> membershipUpdate.state() == State.DEAD)
                        .count());
        sim.run(30 * S);
        assertEquals(0, sim.wronglyDead());
    }

    @Test
    void membersStartedTogetherConverge() {
        MembershipSimulation sim = new MembershipSimulation(48, 0.05, 6);
        sim.run(20 * S);
        assertEquals(0, sim.wronglyDead());
    }
}
