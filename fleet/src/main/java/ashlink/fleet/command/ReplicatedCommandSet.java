package ashlink.fleet.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The notices that a router knows. Adding is commutative, associative and idempotent: the same
 * notices in any order, any number of times, give the same set. So what reaches a router late,
 * twice, or from a backup never undoes what is newer.
 *
 * <p>A notice ends by its time; it is remembered beyond that, so that an older one does not come to
 * life again. Times are of the router's own clock, in milliseconds: what travels is how long a
 * notice still has, not when it ends.
 */
public final class ReplicatedCommandSet {

    /** A notice and how long it still holds, in milliseconds; 0 or less is over. */
    public record CommandWithTtl(OperatorCommand notice, long leftMs) {}

    /** Names a say: that of an owner on a subject. */
    public record CommandKey(String subject, String owner) implements Comparable<CommandKey> {
        @Override
        public int compareTo(CommandKey commandKey) {
            int c = subject.compareTo(commandKey.subject);
            return c != 0 ? c : owner.compareTo(commandKey.owner);
        }
    }

    private record Entry(OperatorCommand command, long expiresMs) {}

    private final int maxEntries;
    private final long maxTtlMs;
    private final long tombstoneMs;
    private final Map<CommandKey, Entry> entries = new TreeMap<>();

    /**
     * An empty set.
     *
     * @param maxEntries says that are known at most; a new one past it is not taken
     * @param maxTtlMs longest time that a notice may hold
     * @param tombstoneMs time for which one that is over is remembered; at least {@code maxTtlMs},
     *     so that whoever still has an older one has it no longer than the newer is remembered
     */
    public ReplicatedCommandSet(int most, long longestMs, long rememberedMs) {
        if (rememberedMs < longestMs) {
            throw new IllegalArgumentException(
                    "remembered for "
                            + rememberedMs
                            + " ms, less than the longest of "
                            + longestMs);
        }
        this.maxEntries = most;
        this.maxTtlMs = longestMs;
        this.tombstoneMs = rememberedMs;
    }

    private static CommandKey keyOf(OperatorCommand operatorCommand) {
        return new CommandKey(operatorCommand.subject(), operatorCommand.owner());
    }

    /** Adds a notice that still holds for that long; true if anything is otherwise than before. */
    public boolean add(OperatorCommand operatorCommand, long leftMs, long nowMs) {
        long until = nowMs + Math.min(leftMs, maxTtlMs);
        Entry held = entries.get(keyOf(operatorCommand));
        if (held == null && entries.size() >= maxEntries) {
            removeExpired(nowMs);
            if (entries.size() >= maxEntries) {
                return false;
            }
        }
        int newer = held == null ? 1 : operatorCommand.compareTo(held.command);
        if (newer < 0 || newer == 0 && until <= held.expiresMs) {
            return false;
        }
        entries.put(keyOf(operatorCommand), new Entry(operatorCommand, until));
        return newer > 0;
    }

    /** What holds of a subject: the strongest of what its owners want. */
    public Intent intent(String subject, long nowMs) {
        Intent strongest = Intent.NONE;
        for (Entry entry : entries.values()) {
            if (entry.command.subject().equals(subject)
                    && entry.expiresMs > nowMs
                    && entry.command.intent().compareTo(strongest) > 0) {
                strongest = entry.command.intent();
            }
        }
        return strongest;
    }

    /** All subjects of which something holds, with what. */
    public Map<String, Intent> intents(long nowMs) {
        Map<String, Intent> all = new TreeMap<>();
        for (Entry entry : entries.values()) {
            if (entry.expiresMs > nowMs && entry.command.intent() != Intent.NONE) {
                all.merge(
                        entry.command.subject(),
                        entry.command.intent(),
                        (a, b) -> a.compareTo(b) > 0 ? a : b);
            }
        }
        return all;
    }

    /** The next revision for a say: more than any that is known of it. */
    public long nextRevision(String subject, String owner) {
        Entry entry = entries.get(new CommandKey(subject, owner));
        return entry == null ? 1 : entry.command.revision() + 1;
    }

    /** Owners who want something of a subject now. */
    public List<String> owners(String subject, long nowMs) {
        return entries.values().stream()
                .filter(
                        entry ->
                                entry.command.subject().equals(subject)
                                        && entry.expiresMs > nowMs
                                        && entry.command.intent() != Intent.NONE)
                .map(entry -> entry.command.owner())
                .toList();
    }

    /** All notices, also those that are over and remembered. */
    public List<CommandWithTtl> commands(long nowMs) {
        return entries.values().stream()
                .map(entry -> new CommandWithTtl(entry.command, entry.expiresMs - nowMs))
                .toList();
    }

    /** What the holder of that digest lacks. */
    public List<CommandWithTtl> missingFrom(Map<CommandKey, Integer> digest, long nowMs) {
        List<CommandWithTtl> lacked = new ArrayList<>();
        entries.forEach(
                (say, entry) -> {
                    Integer theirs = digest.get(say);
                    if (theirs == null || theirs != entry.command.digest()) {
                        lacked.add(new CommandWithTtl(entry.command, entry.expiresMs - nowMs));
                    }
                });
        return lacked;
    }

    /** Says with a hash of what is known of each, for who compares. */
    public Map<CommandKey, Integer> digest() {
        Map<CommandKey, Integer> digest = new TreeMap<>();
        entries.forEach((say, entry) -> digest.put(say, entry.command.digest()));
        return digest;
    }

    /** Forgets what has been over for long enough. */
    public void removeExpired(long nowMs) {
        entries.values().removeIf(entry -> nowMs - entry.expiresMs > tombstoneMs);
    }

    /** Says that are known. */
    public int size() {
        return entries.size();
    }
}
