package ashlink.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ReplicatedCommandSetProperties {

    private static final long DAY = 86_400_000L;

    /** Worked out apart from the code, by the definitions of Objects.hash and String.hashCode. */
    private static final int DIGEST = 1912168615;

    private static ReplicatedCommandSet set() {
        return new ReplicatedCommandSet(1_000, 7 * DAY, 14 * DAY);
    }

    private static OperatorCommand command(
            String subject, String owner, long revision, Intent intent) {
        return new OperatorCommand(subject, owner, revision, intent, owner, "");
    }

    /** Few subjects, owners and revisions, so that they meet. */
    private static List<OperatorCommand> some(SplittableRandom random, int count) {
        List<OperatorCommand> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(
                    command(
                            "engine:q" + random.nextInt(3),
                            "op" + random.nextInt(2),
                            1 + random.nextInt(3),
                            Intent.values()[random.nextInt(3)]));
        }
        return all;
    }

    private static ReplicatedCommandSet of(List<OperatorCommand> notices) {
        ReplicatedCommandSet s = set();
        notices.forEach(operatorCommand -> s.add(operatorCommand, DAY, 0));
        return s;
    }

    @Property(tries = 300, seed = "1")
    void mergeIsCommutativeAndIdempotent(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<OperatorCommand> notices = some(random, 1 + random.nextInt(12));
        List<OperatorCommand> shuffled = new ArrayList<>(notices);
        shuffled.addAll(some(new SplittableRandom(seed), 0));
        shuffled.addAll(notices.subList(0, random.nextInt(notices.size())));
        Collections.shuffle(shuffled, new Random(seed));
        assertEquals(of(notices).commands(0), of(shuffled).commands(0));
        assertEquals(of(notices).digest(), of(shuffled).digest());
    }

    @Property(tries = 300, seed = "2")
    void setsConvergeAfterExchangeOfMissingCommands(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplicatedCommandSet a = of(some(random, random.nextInt(10)));
        ReplicatedCommandSet b = of(some(random, random.nextInt(10)));
        List<ReplicatedCommandSet.CommandWithTtl> toB = a.missingFrom(b.digest(), 0);
        b.missingFrom(a.digest(), 0).forEach(ttl -> a.add(ttl.notice(), ttl.leftMs(), 0));
        toB.forEach(ttl -> b.add(ttl.notice(), ttl.leftMs(), 0));
        assertEquals(a.commands(0), b.commands(0));
        assertTrue(a.missingFrom(b.digest(), 0).isEmpty());
    }

    @Property(tries = 300, seed = "3")
    void anOlderNoticeNeverChangesANewer(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplicatedCommandSet set = of(some(random, 8));
        List<ReplicatedCommandSet.CommandWithTtl> before = set.commands(0);
        for (ReplicatedCommandSet.CommandWithTtl ttl : before) {
            if (ttl.notice().revision() > 1) {
                OperatorCommand old =
                        command(
                                ttl.notice().subject(),
                                ttl.notice().owner(),
                                ttl.notice().revision() - 1,
                                Intent.STOP);
                assertFalse(set.add(old, 7 * DAY, 0));
            }
        }
        assertEquals(before, set.commands(0));
    }

    @Example
    void digestIsTheSameInEveryProcess() {
        assertEquals(DIGEST, command("engine:q1", "ann", 3, Intent.DRAIN).digest());
    }

    @Example
    void strongestIntentOverOwnersIsInForce() {
        ReplicatedCommandSet s = set();
        s.add(command("engine:q1", "ann", 1, Intent.DRAIN), DAY, 0);
        s.add(command("engine:q1", "ben", 1, Intent.DRAIN), DAY, 0);
        s.add(command("engine:q1", "ann", 2, Intent.NONE), DAY, 0);
        assertEquals(Intent.DRAIN, s.intent("engine:q1", 1), "ben still wants it");
        assertEquals(List.of("ben"), s.owners("engine:q1", 1));
        s.add(
                new OperatorCommand(
                        "engine:q1",
                        "ben",
                        s.nextRevision("engine:q1", "ben"),
                        Intent.NONE,
                        "ann",
                        "overruled"),
                DAY,
                0);
        assertEquals(Intent.NONE, s.intent("engine:q1", 1));
    }

    @Example
    void expiredCommandIsTombstoneForOlderOnes() {
        ReplicatedCommandSet s = set();
        s.add(command("engine:q1", "ann", 2, Intent.DRAIN), 1_000, 0);
        assertEquals(Intent.DRAIN, s.intent("engine:q1", 999));
        assertEquals(Intent.NONE, s.intent("engine:q1", 1_000));
        s.add(command("engine:q1", "ann", 1, Intent.STOP), 7 * DAY, 2_000);
        assertEquals(Intent.NONE, s.intent("engine:q1", 2_001), "from a backup");
        s.removeExpired(13 * DAY);
        assertEquals(1, s.size());
        s.removeExpired(15 * DAY);
        assertEquals(0, s.size());
        s.add(command("engine:q1", "ann", 1, Intent.DRAIN), 1000 * DAY, 0);
        assertEquals(
                Intent.NONE,
                s.intent("engine:q1", 8 * DAY),
                "no notice holds for longer than the longest");
    }

    @Example
    void fullSetRejectsNewRegistersAndUpdatesExistingOnes() {
        ReplicatedCommandSet set = new ReplicatedCommandSet(2, DAY, DAY);
        assertTrue(set.add(command("engine:a", "o", 1, Intent.DRAIN), DAY, 0));
        assertTrue(set.add(command("engine:b", "o", 1, Intent.DRAIN), DAY, 0));
        assertFalse(set.add(command("engine:c", "o", 1, Intent.DRAIN), DAY, 0));
        assertTrue(set.add(command("engine:a", "o", 2, Intent.NONE), DAY, 0));
        assertTrue(
                set.add(command("engine:c", "o", 1, Intent.DRAIN), DAY, 3 * DAY),
                "those that are over made room");
    }
}
