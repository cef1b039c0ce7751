package ashlink.router.statement;

import ashlink.router.core.StatementOutcome;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds idempotency keys: a statement with a key runs at most once while the key is retained. A key
 * is claimed before its statement is submitted, and released before it expires only if the
 * statement was rejected, which proves that the statement did not run. A statement that was running
 * when the router stopped has an unknown outcome and is never run again. Not safe for use by
 * several threads.
 */
public final class IdempotencyKeyTable {

    /** The status of the statement of a key. Stored by ordinal: never reorder the constants. */
    public enum Status {
        /** The statement has no final response yet. */
        RUNNING,
        /** The statement has its final response. */
        COMPLETED,
        /** The router stopped while the statement was running. */
        UNKNOWN
    }

    /**
     * A claimed key.
     *
     * @param user user whom the key belongs to
     * @param digest digest of the statement with its settings
     * @param statement identifier of the statement
     * @param outcome outcome of the statement; null unless the statement is completed
     * @param claimedMs time of the claim in milliseconds since the Unix epoch
     */
    public record Entry(
            String user,
            String key,
            String digest,
            String statement,
            Status status,
            StatementOutcome outcome,
            long claimedMs) {

        /** Returns this entry with the status of a completed statement. */
        public Entry completed(StatementOutcome finalOutcome) {
            return new Entry(
                    user, key, digest, statement, Status.COMPLETED, finalOutcome, claimedMs);
        }

        /** Returns this entry with the status that it has after a restart of the router. */
        public Entry afterRestart() {
            return status == Status.RUNNING
                    ? new Entry(user, key, digest, statement, Status.UNKNOWN, outcome, claimedMs)
                    : this;
        }
    }

    /** The result of a claim. */
    public enum ClaimResult {
        /** The key was free and is now claimed. */
        NEW,
        /** The same statement was submitted with this key before. */
        DUPLICATE,
        /** A different statement was submitted with this key before. */
        CONFLICT,
        /** The table is full and none of the keys has expired. */
        FULL
    }

    /** The result of a claim with the entry of the key, which is null if the table is full. */
    public record Claim(ClaimResult result, Entry entry) {}

    private record Name(String user, String key) {}

    private final int maxKeys;
    private final long retentionMs;
    private final Map<Name, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Name> nameByStatement = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param most maximum number of keys
     * @param keptMs time for which a key is retained
     */
    public IdempotencyKeyTable(int most, long keptMs) {
        this.maxKeys = most;
        this.retentionMs = keptMs;
    }

    /** Claims a key for a statement. */
    public Claim claim(String user, String key, String digest, String statement, long nowMs) {
        Entry existing = entries.get(new Name(user, key));
        if (existing != null) {
            return new Claim(
                    existing.digest().equals(digest) ? ClaimResult.DUPLICATE : ClaimResult.CONFLICT,
                    existing);
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

    /** Adds or replaces an entry. */
    public void put(Entry entry) {
        Name name = new Name(entry.user(), entry.key());
        Entry before = entries.put(name, entry);
        if (before != null) {
            nameByStatement.remove(before.statement());
        }
        nameByStatement.put(entry.statement(), name);
    }

    /** Releases a key. */
    public void release(String user, String key) {
        Entry entry = entries.remove(new Name(user, key));
        if (entry != null) {
            nameByStatement.remove(entry.statement());
        }
    }

    /** Returns the entry of a statement, or null. */
    public Entry findByStatement(String statement) {
        Name name = nameByStatement.get(statement);
        return name == null ? null : entries.get(name);
    }

    /** Releases and returns the expired keys; keys of running statements never expire. */
    public List<Entry> expire(long nowMs) {
        List<Entry> expired = new ArrayList<>();
        for (Entry entry : new ArrayList<>(entries.values())) {
            if (nowMs - entry.claimedMs() >= retentionMs && entry.status() != Status.RUNNING) {
                release(entry.user(), entry.key());
                expired.add(entry);
            }
        }
        return expired;
    }

    /** Returns the number of claimed keys. */
    public int size() {
        return entries.size();
    }

    /** Returns all entries, the oldest first. */
    public Collection<Entry> entries() {
        return List.copyOf(entries.values());
    }
}
