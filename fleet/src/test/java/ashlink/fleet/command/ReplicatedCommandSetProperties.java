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

/** Tests the CRDT properties of the command set and the expiry of its commands. */
class ReplicatedCommandSetProperties {

    private static final long DAY_MS = 86_400_000L;

    /**
     * Computed independently of the code, from the definitions of Objects.hash and String.hashCode.
     */
    private static final int EXPECTED_DIGEST = 1912168615;

    private static ReplicatedCommandSet emptySet() {
        return new ReplicatedCommandSet(1_000, 7 * DAY_MS, 14 * DAY_MS);
    }

    private static OperatorCommand command(
            String subject, String owner, long revision, Intent intent) {
        return new OperatorCommand(subject, owner, revision, intent, owner, "");
    }

    /** Returns random commands with few subjects, owners and revisions, so that keys coincide. */
    private static List<OperatorCommand> randomCommands(SplittableRandom random, int count) {
        List<OperatorCommand> commands = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            commands.add(
                    command(
                            "engine:q" + random.nextInt(3),
                            "op" + random.nextInt(2),
                            1 + random.nextInt(3),
                            Intent.values()[random.nextInt(3)]));
        }
        return commands;
    }

    private static ReplicatedCommandSet setOf(List<OperatorCommand> commands) {
        ReplicatedCommandSet set = emptySet();
        commands.forEach(command -> set.add(command, DAY_MS, 0));
        return set;
    }

    @Property(tries = 300, seed = "1")
    void mergeIsCommutativeAndIdempotent(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<OperatorCommand> commands = randomCommands(random, 1 + random.nextInt(12));
        List<OperatorCommand> shuffled = new ArrayList<>(commands);
        shuffled.addAll(randomCommands(new SplittableRandom(seed), 0));
        shuffled.addAll(commands.subList(0, random.nextInt(commands.size())));
        Collections.shuffle(shuffled, new Random(seed));
        assertEquals(setOf(commands).commands(0), setOf(shuffled).commands(0));
        assertEquals(setOf(commands).digest(), setOf(shuffled).digest());
    }

    @Property(tries = 300, seed = "2")
    void setsConvergeAfterExchangeOfMissingCommands(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplicatedCommandSet left = setOf(randomCommands(random, random.nextInt(10)));
        ReplicatedCommandSet right = setOf(randomCommands(random, random.nextInt(10)));
        List<ReplicatedCommandSet.CommandWithTtl> toRight = left.missingFrom(right.digest(), 0);
        right.missingFrom(left.digest(), 0)
                .forEach(entry -> left.add(entry.command(), entry.ttlMs(), 0));
        toRight.forEach(entry -> right.add(entry.command(), entry.ttlMs(), 0));
        assertEquals(left.commands(0), right.commands(0));
        assertTrue(left.missingFrom(right.digest(), 0).isEmpty());
    }

    @Property(tries = 300, seed = "3")
    void olderCommandNeverReplacesNewerOne(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplicatedCommandSet set = setOf(randomCommands(random, 8));
        List<ReplicatedCommandSet.CommandWithTtl> before = set.commands(0);
        for (ReplicatedCommandSet.CommandWithTtl entry : before) {
            if (entry.command().revision() > 1) {
                OperatorCommand older =
                        command(
                                entry.command().subject(),
                                entry.command().owner(),
                                entry.command().revision() - 1,
                                Intent.STOP);
                assertFalse(set.add(older, 7 * DAY_MS, 0));
            }
        }
        assertEquals(before, set.commands(0));
    }

    @Example
    void digestIsTheSameInEveryProcessAndBuild() {
        assertEquals(EXPECTED_DIGEST, command("engine:q1", "ann", 3, Intent.DRAIN).digest());
    }

    @Example
    void strongestIntentOverOwnersIsInForce() {
        ReplicatedCommandSet set = emptySet();
        set.add(command("engine:q1", "ann", 1, Intent.DRAIN), DAY_MS, 0);
        set.add(command("engine:q1", "ben", 1, Intent.DRAIN), DAY_MS, 0);
        set.add(command("engine:q1", "ann", 2, Intent.NONE), DAY_MS, 0);
        assertEquals(Intent.DRAIN, set.intent("engine:q1", 1), "the drain of ben is in force");
        assertEquals(List.of("ben"), set.owners("engine:q1", 1));
        set.add(
                new OperatorCommand(
                        "engine:q1",
                        "ben",
                        set.nextRevision("engine:q1", "ben"),
                        Intent.NONE,
                        "ann",
                        "overruled"),
                DAY_MS,
                0);
        assertEquals(Intent.NONE, set.intent("engine:q1", 1));
    }

    @Example
    void expiredCommandIsTombstoneForOlderOnes() {
        ReplicatedCommandSet set = emptySet();
        set.add(command("engine:q1", "ann", 2, Intent.DRAIN), 1_000, 0);
        assertEquals(Intent.DRAIN, set.intent("engine:q1", 999));
        assertEquals(Intent.NONE, set.intent("engine:q1", 1_000));
        set.add(command("engine:q1", "ann", 1, Intent.STOP), 7 * DAY_MS, 2_000);
        assertEquals(
                Intent.NONE,
                set.intent("engine:q1", 2_001),
                "an older command, for example from a backup, does not take effect");
        set.removeExpired(13 * DAY_MS);
        assertEquals(1, set.size());
        set.removeExpired(15 * DAY_MS);
        assertEquals(0, set.size());
        set.add(command("engine:q1", "ann", 1, Intent.DRAIN), 1000 * DAY_MS, 0);
        assertEquals(
                Intent.NONE,
                set.intent("engine:q1", 8 * DAY_MS),
                "the time to live is limited to the maximum");
    }

    @Example
    void fullSetRejectsNewRegistersAndUpdatesExistingOnes() {
        ReplicatedCommandSet set = new ReplicatedCommandSet(2, DAY_MS, DAY_MS);
        assertTrue(set.add(command("engine:a", "o", 1, Intent.DRAIN), DAY_MS, 0));
        assertTrue(set.add(command("engine:b", "o", 1, Intent.DRAIN), DAY_MS, 0));
        assertFalse(set.add(command("engine:c", "o", 1, Intent.DRAIN), DAY_MS, 0));
        assertTrue(set.add(command("engine:a", "o", 2, Intent.NONE), DAY_MS, 0));
        assertTrue(
                set.add(command("engine:c", "o", 1, Intent.DRAIN), DAY_MS, 3 * DAY_MS),
                "expired commands were removed");
    }
}
