package ashlink.router.statement;

import ashlink.router.core.StatementOutcome;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keys under which a statement runs once. A key is claimed before its statement is put to the
 * decisions, and holds for its time whatever becomes of the statement, with one exception: a
 * statement that was refused provably did not run, and its key is free again. What was under way
 * when a router ended has an unknown fate, and is never run again by itself.
 */
public final class IdempotencyKeyTable {

    /** What is known of a key's statement. */
    public enum Status {
        /** Under way. */
        RUNNING,
        /** Answered. */
        COMPLETED,
        /** The router ended while it was under way. */
        UNKNOWN
    }

    /**
     * A key that is taken.
     *
     * @param digest of the statement's text and settings
     * @param outcome how it was answered, where it was
     * @param claimedMs when, in milliseconds since 1970
     */
    public record Entry(
            String user,
            String key,
            String digest,
            String statement,
            Status status,
            StatementOutcome outcome,
            long claimedMs) {

        /** The same, answered. */
        public Entry completed(StatementOutcome how) {
            return new Entry(user, key, digest, statement, Status.COMPLETED, how, claimedMs);
        }

        /** The same after the router ended. */
        public Entry afterRestart() {
            return status == Status.RUNNING
                    ? new Entry(user, key, digest, statement, Status.UNKNOWN, outcome, claimedMs)
                    : this;
        }
    }

    /** What becomes of a claim. */
    public enum ClaimResult {
        /** The key was free: it is taken now. */
        NEW,
        /** The same statement was put under it before. */
        DUPLICATE,
        /** Another statement was put under it before. */
        CONFLICT,
        /** There are as many keys as there may be, and none is over its time. */
        FULL
    }

    /** A verdict, with the entry that holds the key; null where it is full. */
    public record Claim(ClaimResult result, Entry entry) {}

    private record Name(String user, String key) {}

    private final int maxKeys;
    private final long retentionMs;
    private final Map<Name, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Name> nameByStatement = new HashMap<>();

    /** An empty table of so many keys, each for so long. */
    public IdempotencyKeyTable(int most, long keptMs) {
        this.maxKeys = most;
        this.retentionMs = keptMs;
    }

    /** Claims a key. */
    public Claim claim(String user, String key, String digest, String statement, long nowMs) {
        Entry held = entries.get(new Name(user, key));
        if (held != null) {
            return new Claim(
                    held.digest().equals(digest) ? ClaimResult.DUPLICATE : ClaimResult.CONFLICT,
                    held);
        }
        if (entries.size() >= maxKeys) {
            expire(nowMs);
        }
        if (entries.size() >= maxKeys) {
            return new Claim(ClaimResult.FULL, null);
        }
        Entry entry = new Entry(user, key, digest, statement, Status.RUNNING, null, nowMs);
        put(entry);
        return new Claim(ClaimResult.NEW, entry);
    }

    /** Takes an entry as it is: from a journal, or after it changed. */
    public void put(Entry entry) {
        Name name = new Name(entry.user(), entry.key());
        Entry before = entries.put(name, entry);
        if (before != null) {
            nameByStatement.remove(before.statement());
        }
        nameByStatement.put(entry.statement(), name);
    }

    /** A key is free again. */
    public void release(String user, String key) {
        Entry entry = entries.remove(new Name(user, key));
        if (entry != null) {
            nameByStatement.remove(entry.statement());
        }
    }

    /** The entry of a statement, or null. */
    public Entry findByStatement(String statement) {
        Name name = nameByStatement.get(statement);
        return name == null ? null : entries.get(name);
    }

    /**
     * Lets go of keys whose time is over, but of none whose statement is under way; returns them.
     */
    public List<Entry> expire(long nowMs) {
        List<Entry> gone = new ArrayList<>();
        for (Entry entry : new ArrayList<>(entries.values())) {
            if (nowMs - entry.claimedMs() >= retentionMs && entry.status() != Status.RUNNING) {
                release(entry.user(), entry.key());
                gone.add(entry);
            }
        }
        return gone;
    }

    /** Keys that are taken. */
    public int size() {
        return entries.size();
    }

    /** All entries, the oldest first. */
    public Collection<Entry> entries() {
        return List.copyOf(entries.values());
    }
}
