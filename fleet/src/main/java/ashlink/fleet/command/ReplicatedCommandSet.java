package ashlink.fleet.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A state-based CRDT of operators' commands: a map of last-writer-wins registers with expiry, one
 * register for each pair of subject and owner.
 *
 * <p>Merge rule: the register keeps the greater command in the total order of {@link
 * OperatorCommand#compareTo} (revision, then intent, issuer, reason); of two equal commands the
 * register keeps the later expiry. Merging takes a maximum and is therefore commutative,
 * associative and idempotent, as long as no command is rejected because of {@code maxEntries}.
 *
 * <p>Clocks: the revision is a logical clock per register, one more than the highest revision known
 * to the issuer. Expiry times are in milliseconds of the local wall clock; routers exchange only
 * the remaining time to live, so their clocks need not be synchronized.
 *
 * <p>Invariants: the command of a register never decreases while the register is kept. An expired
 * command has no effect and is kept as a tombstone for {@code tombstoneMs}, so that an older
 * command with a time to live of at most {@code maxTtlMs} cannot take effect again.
 *
 * <p>Performs no I/O and reads no clock; not thread-safe.
 */
public final class ReplicatedCommandSet {

    /** A command and its remaining time to live in milliseconds; 0 or less means expired. */
    public record CommandWithTtl(OperatorCommand command, long ttlMs) {}

    /** The key of a register: the subject and the owner of its command. */
    public record CommandKey(String subject, String owner) implements Comparable<CommandKey> {
        @Override
        public int compareTo(CommandKey other) {
            int bySubject = subject.compareTo(other.subject);
            return bySubject != 0 ? bySubject : owner.compareTo(other.owner);
        }
    }

    private record Entry(OperatorCommand command, long expiresMs) {}

    private final int maxEntries;
    private final long maxTtlMs;
    private final long tombstoneMs;
    private final Map<CommandKey, Entry> entries = new TreeMap<>();

    /**
     * Creates an empty set.
     *
     * @param maxEntries maximum number of registers; a command that needs another one is rejected
     * @param maxTtlMs maximum time to live of a command; a longer one is reduced to it
     * @param tombstoneMs time for which an expired command is kept; at least {@code maxTtlMs}
     */
    public ReplicatedCommandSet(int maxEntries, long maxTtlMs, long tombstoneMs) {
        if (tombstoneMs < maxTtlMs) {
            throw new IllegalArgumentException(
                    "invalid tombstone time of "
                            + tombstoneMs
                            + " ms: at least the maximum time to live of "
                            + maxTtlMs
                            + " ms");
        }
        this.maxEntries = maxEntries;
        this.maxTtlMs = maxTtlMs;
        this.tombstoneMs = tombstoneMs;
    }

    private static CommandKey keyOf(OperatorCommand command) {
        return new CommandKey(command.subject(), command.owner());
    }

    /**
     * Merges a command with its remaining time to live.
     *
     * @return whether the command of the register changed; false if only its expiry was extended
     */
    public boolean add(OperatorCommand command, long ttlMs, long nowMs) {
        long expiresMs = nowMs + Math.min(ttlMs, maxTtlMs);
        Entry known = entries.get(keyOf(command));
        if (known == null && entries.size() >= maxEntries) {
            removeExpired(nowMs);
            if (entries.size() >= maxEntries) {
                return false;
            }
        }
        int order = known == null ? 1 : command.compareTo(known.command);
        if (order < 0 || order == 0 && expiresMs <= known.expiresMs) {
            return false;
        }
        entries.put(keyOf(command), new Entry(command, expiresMs));
        return order > 0;
    }

    /** Returns the strongest intent in force for a subject among the commands of all owners. */
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

    /** Returns the strongest intent in force by subject; a subject without one is omitted. */
    public Map<String, Intent> intents(long nowMs) {
        Map<String, Intent> intents = new TreeMap<>();
        for (Entry entry : entries.values()) {
            if (entry.expiresMs > nowMs && entry.command.intent() != Intent.NONE) {
                intents.merge(
                        entry.command.subject(),
                        entry.command.intent(),
                        (left, right) -> left.compareTo(right) > 0 ? left : right);
            }
        }
        return intents;
    }

    /** Returns the next revision of a register: one more than the known revision, or 1. */
    public long nextRevision(String subject, String owner) {
        Entry entry = entries.get(new CommandKey(subject, owner));
        return entry == null ? 1 : entry.command.revision() + 1;
    }

    /** Returns the owners that have an intent in force for a subject. */
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

    /** Returns all commands, including expired ones. */
    public List<CommandWithTtl> commands(long nowMs) {
        return entries.values().stream()
                .map(entry -> new CommandWithTtl(entry.command, entry.expiresMs - nowMs))
                .toList();
    }

    /** Returns the commands that are missing or different in the set of a peer with a digest. */
    public List<CommandWithTtl> missingFrom(Map<CommandKey, Integer> digest, long nowMs) {
        List<CommandWithTtl> missing = new ArrayList<>();
        entries.forEach(
                (key, entry) -> {
                    Integer peerHash = digest.get(key);
                    if (peerHash == null || peerHash != entry.command.digest()) {
                        missing.add(new CommandWithTtl(entry.command, entry.expiresMs - nowMs));
                    }
                });
        return missing;
    }

    /** Returns a hash of the command in each register, for comparison with a peer. */
    public Map<CommandKey, Integer> digest() {
        Map<CommandKey, Integer> digest = new TreeMap<>();
        entries.forEach((key, entry) -> digest.put(key, entry.command.digest()));
        return digest;
    }

    /** Removes the commands that expired more than the tombstone time ago. */
    public void removeExpired(long nowMs) {
        entries.values().removeIf(entry -> nowMs - entry.expiresMs > tombstoneMs);
    }

    /** Returns the number of registers. */
    public int size() {
        return entries.size();
    }
}
