package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.router.spool.IdempotencyKeyLog;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.IdempotencyKeyTable.Claim;
import ashlink.router.statement.IdempotencyKeyTable.ClaimResult;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the idempotency keys of statements in memory and on the disk. A claim is on the disk
 * before the claimed statement can run, and an outcome is on the disk before the client receives
 * the outcome. Safe for use by several threads.
 */
final class IdempotencyKeys {

    private static final Logger LOG = LoggerFactory.getLogger(IdempotencyKeys.class);

    /** Guarded by itself. */
    private final IdempotencyKeyTable table;

    /** Null if keys do not survive a restart. */
    private final IdempotencyKeyLog log;

    IdempotencyKeys(IdempotencyKeyTable table, IdempotencyKeyLog log) {
        this.table = table;
        this.log = log;
    }

    /**
     * Claims a key for a statement.
     *
     * @param onNew runs if the key was free, before another thread can find the key
     */
    Claim claim(String user, String key, String digest, String statementId, Runnable onNew) {
        synchronized (table) {
            Claim claim = table.claim(user, key, digest, statementId, System.currentTimeMillis());
            if (claim.result() == ClaimResult.NEW) {
                onNew.run();
            }
            return claim;
        }
    }

    /** Stores a claim; returns false if the write to the disk fails. */
    boolean storeClaim(Entry entry) {
        try {
            if (log != null) {
                log.put(entry);
            }
            return true;
        } catch (IOException e) {
            LOG.error(
                    "idempotency key claim not stored statement={} error=\"{}\"",
                    entry.statement(),
                    e.toString());
            return false;
        }
    }

    /** Stores the outcome of a statement; releases the key of a statement that did not run. */
    void storeOutcome(String statementId, StatementOutcome outcome) throws IOException {
        Entry entry;
        synchronized (table) {
            entry = table.findByStatement(statementId);
            if (entry == null) {
                return;
            }
            if (outcome.isRejection()) {
                table.release(entry.user(), entry.key());
            } else {
                table.put(entry.completed(outcome));
            }
        }
        if (log == null) {
            return;
        }
        if (outcome.isRejection()) {
            storeRelease(entry);
        } else {
            log.put(entry.completed(outcome));
        }
    }

    private void storeRelease(Entry entry) {
        try {
            log.release(entry);
        } catch (IOException e) {
            LOG.warn(
                    "idempotency key release not stored, outcome unknown after a restart"
                            + " statement={} error=\"{}\"",
                    entry.statement(),
                    e.toString());
        }
    }

    /** Returns the key entry of a user's statement, or null. */
    Entry find(String statementId, String user) {
        synchronized (table) {
            Entry entry = table.findByStatement(statementId);
            return entry != null && entry.user().equals(user) ? entry : null;
        }
    }

    /** Removes expired keys and compacts the log. */
    void expire() throws IOException {
        List<Entry> expired;
        synchronized (table) {
            expired = table.expire(System.currentTimeMillis());
        }
        if (log != null) {
            for (Entry entry : expired) {
                log.release(entry);
            }
            log.compact();
        }
    }

    int size() {
        synchronized (table) {
            return table.size();
        }
    }

    void close() throws IOException {
        if (log != null) {
            log.close();
        }
    }
}
