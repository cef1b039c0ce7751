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

    private record UserKey(String user, String key) {}

    private final int maxKeys;
    private final long retentionMs;
    private final Map<UserKey, Entry> entries = new LinkedHashMap<>();
    private final Map<String, UserKey> keyByStatement = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param maxKeys maximum number of keys
     * @param retentionMs time for which a key is retained
     */
    public IdempotencyKeyTable(int maxKeys, long retentionMs) {
        this.maxKeys = maxKeys;
        this.retentionMs = retentionMs;
    }

    /** Claims a key for a statement. */
    public Claim claim(String user, String key, String digest, String statement, long nowMs) {
        Entry existing = entries.get(new UserKey(user, key));
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
        UserKey userKey = new UserKey(entry.user(), entry.key());
        Entry before = entries.put(userKey, entry);
        if (before != null) {
            keyByStatement.remove(before.statement());
        }
        keyByStatement.put(entry.statement(), userKey);
    }

    /** Releases a key. */
    public void release(String user, String key) {
        Entry entry = entries.remove(new UserKey(user, key));
        if (entry != null) {
            keyByStatement.remove(entry.statement());
        }
    }

    /** Returns the entry of a statement, or null. */
    public Entry findByStatement(String statement) {
        UserKey userKey = keyByStatement.get(statement);
        return userKey == null ? null : entries.get(userKey);
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
