package ashlink.router.spool;

import ashlink.capture.log.Disk;
import ashlink.capture.log.KeyValueLog;
import ashlink.router.core.StatementOutcome;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Status;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores a table of idempotency keys on the disk, as a log with one record for each change. A
 * change is durable once its record is synced; concurrent changes share a sync. The log is
 * compacted at each start of the router and whenever it has grown too large. Safe for use by
 * several threads.
 *
 * <p>Lock order: {@code syncLock}, then this, then the table. Callers must not hold the lock of the
 * table.
 */
public final class IdempotencyKeyLog implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(IdempotencyKeyLog.class);
    private static final long SEGMENT_BYTES = 16L << 20;

    // Record kinds.
    private static final int PUT = 1;
    private static final int RELEASE = 2;

    /** Stored instead of an outcome if the statement has none. */
    private static final int NO_OUTCOME = -1;

    /** The log is compacted beyond this number of records plus {@link #RECORDS_PER_KEY} per key. */
    private static final int MIN_RECORDS = 10_000;

    private static final long RECORDS_PER_KEY = 4L;

    /** Guarded by this. */
    private final KeyValueLog log;

    /** Guarded by itself. */
    private final IdempotencyKeyTable table;

    /** Held during a sync, so that records appended meanwhile share the next sync. */
    private final Object syncLock = new Object();

    /** Records that are appended but not yet synced. Guarded by this. */
    private final List<PendingRecord> pending = new ArrayList<>();

    /**
     * Opens a log: reads the stored keys into a table and compacts the log. Statements that were
     * running when the router stopped become statements with an unknown outcome.
     */
    public IdempotencyKeyLog(Disk disk, IdempotencyKeyTable table, long nowMs) throws IOException {
        this.log = new KeyValueLog(disk, SEGMENT_BYTES, nowMs);
        this.table = table;
        load();
        table.expire(nowMs);
        rewrite();
    }

    // Reading

    private void load() throws IOException {
        for (String damage :
                log.read(
                        record ->
                                applyRecord(
                                        new DataInputStream(new ByteArrayInputStream(record))))) {
            LOG.error(
                    "idempotency key log damaged, later keys in the segment lost segment=\"{}\"",
                    damage);
        }
        for (Entry entry : table.entries()) {
            table.put(entry.afterRestart());
        }
    }

    private void applyRecord(DataInputStream in) throws IOException {
        int kind = in.readByte();
        String user = in.readUTF();
        String key = in.readUTF();
        if (kind == RELEASE) {
            table.release(user, key);
            return;
        }
        String digest = in.readUTF();
        String statement = in.readUTF();
        Status status = Status.values()[in.readByte()];
        int outcome = in.readByte();
        table.put(
                new Entry(
                        user,
                        key,
                        digest,
                        statement,
                        status,
                        outcome < 0 ? null : StatementOutcome.values()[outcome],
                        in.readLong()));
    }

    // Writing

    private static byte[] encode(int kind, Entry entry) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(kind);
        out.writeUTF(entry.user());
        out.writeUTF(entry.key());
        if (kind == PUT) {
            out.writeUTF(entry.digest());
            out.writeUTF(entry.statement());
            out.writeByte(entry.status().ordinal());
            out.writeByte(entry.outcome() == null ? NO_OUTCOME : entry.outcome().ordinal());
            out.writeLong(entry.claimedMs());
        }
        return bytes.toByteArray();
    }

    /** Stores an entry; returns once the entry is on the disk. */
    public void put(Entry entry) throws IOException {
        append(PUT, entry);
    }

    /** Stores the release of a key; returns once the release is on the disk. */
    public void release(Entry entry) throws IOException {
        append(RELEASE, entry);
    }

    /** A record that is appended but not yet synced. */
    private static final class PendingRecord {
        private boolean done;

        /** Null if the record is on the disk. */
        private IOException failure;
    }

    private void append(int kind, Entry entry) throws IOException {
        byte[] record = encode(kind, entry);
        PendingRecord appended = new PendingRecord();
        synchronized (this) {
            try {
                log.append(record);
            } catch (IOException e) {
                // Records that were appended before and are not yet synced may be lost too.
                completePending(e);
                throw e;
            }
            pending.add(appended);
        }
        synchronized (syncLock) {
            if (!appended.done) {
                synchronized (this) {
                    sync();
                }
            }
        }
        if (appended.failure != null) {
            throw new IOException(
                    "cannot write the idempotency key log: " + appended.failure.getMessage(),
                    appended.failure);
        }
    }

    private void sync() {
        IOException failure = null;
        try {
            log.sync();
        } catch (IOException e) {
            failure = e;
        }
        completePending(failure);
    }

    private void completePending(IOException failure) {
        for (PendingRecord record : pending) {
            record.failure = failure;
            record.done = true;
        }
        pending.clear();
    }

    /** Compacts the log if it has many more records than the table has keys. */
    public void compact() throws IOException {
        synchronized (syncLock) {
            synchronized (this) {
                if (log.written() > MIN_RECORDS + RECORDS_PER_KEY * keyCount()) {
                    sync();
                    rewrite();
                }
            }
        }
    }

    private int keyCount() {
        synchronized (table) {
            return table.size();
        }
    }

    private void rewrite() throws IOException {
        Collection<Entry> entries;
        synchronized (table) {
            entries = table.entries();
        }
        List<byte[]> records = new ArrayList<>();
        for (Entry entry : entries) {
            records.add(encode(PUT, entry));
        }
        log.rewrite(records);
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            log.close();
        }
    }
}
