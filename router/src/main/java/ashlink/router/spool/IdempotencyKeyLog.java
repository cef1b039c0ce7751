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
 * Keeps a table of keys on disk: a record for each change, in the log of captures. A key counts as
 * claimed once its record is synced; many claims share a sync. From time to time, and at each
 * start, the table is written anew and the log before is removed. Whoever else uses the table holds
 * its lock meanwhile, and never while it calls the journal.
 */
public final class IdempotencyKeyLog implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(IdempotencyKeyLog.class);
    private static final long SEGMENT_BYTES = 16L << 20;
    private static final int PUT = 1;
    private static final int RELEASE = 2;
    private static final int SLACK = 10_000;

    private final KeyValueLog log;
    private final IdempotencyKeyTable table;
    private final Object syncing = new Object();
    private final List<Pending> pending = new ArrayList<>();

    /**
     * Reads the table that the disk has, and goes on from there; what was under way has an unknown
     * fate now.
     */
    public IdempotencyKeyLog(Disk disk, IdempotencyKeyTable table, long nowMs) throws IOException {
        this.log = new KeyValueLog(disk, SEGMENT_BYTES, nowMs);
        this.table = table;
        load();
        table.expire(nowMs);
        rewrite();
    }

    // ---- Reading
    private void load() throws IOException {
        for (String damage :
                log.read(r -> apply(new DataInputStream(new ByteArrayInputStream(r))))) {
            LOG.error(
                    "the journal of keys is damaged in {}; keys after that place in it are lost",
                    damage);
        }
        for (Entry entry : table.entries()) {
            table.put(entry.afterRestart());
        }
    }

    private void apply(DataInputStream in) throws IOException {
        int kind = in.readByte();
        String user = in.readUTF();
        String key = in.readUTF();
        if (kind == RELEASE) {
            table.release(user, key);
            return;
        }
        String digest = in.readUTF();
        String statement = in.readUTF();
        Status fate = Status.values()[in.readByte()];
        int ending = in.readByte();
        table.put(
                new Entry(
                        user,
                        key,
                        digest,
                        statement,
                        fate,
                        ending < 0 ? null : StatementOutcome.values()[ending],
                        in.readLong()));
    }

    // ---- Writing
    private static byte[] record(int kind, Entry entry) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(kind);
        out.writeUTF(entry.user());
        out.writeUTF(entry.key());
        if (kind == PUT) {
            out.writeUTF(entry.digest());
            out.writeUTF(entry.statement());
            out.writeByte(entry.status().ordinal());
            out.writeByte(entry.outcome() == null ? -1 : entry.outcome().ordinal());
            out.writeLong(entry.claimedMs());
        }
        return bytes.toByteArray();
    }

    /** Keeps an entry as it is now; returns once that is on the disk. */
    public void put(Entry entry) throws IOException {
        append(PUT, entry);
    }

    /** Keeps that a key is free; returns once that is on the disk. */
    public void release(Entry entry) throws IOException {
        append(RELEASE, entry);
    }

    /** A record on its way to the disk. */
    private static final class Pending {
        private boolean done;
        private IOException failed;
    }

    private void append(int kind, Entry entry) throws IOException {
        byte[] record = record(kind, entry);
        Pending mine = new Pending();
        synchronized (this) {
            try {
                log.append(record);
            } catch (IOException x) {
                settle(x); // what was appended before and not synced is not believed either
                throw x;
            }
            pending.add(mine);
        }
        synchronized (syncing) {
            if (!mine.done) {
                synchronized (this) {
                    sync();
                }
            }
        }
        if (mine.failed != null) {
            throw new IOException(
                    "the journal of keys fails: " + mine.failed.getMessage(), mine.failed);
        }
    }

    private void sync() {
        IOException failed = null;
        try {
            log.sync();
        } catch (IOException x) {
            failed = x;
        }
        settle(failed);
    }

    private void settle(IOException failed) {
        for (Pending p : pending) {
            p.failed = failed;
            p.done = true;
        }
        pending.clear();
    }

    /** Writes the table anew where the log has grown far beyond it. */
    public void compact() throws IOException {
        synchronized (syncing) {
            synchronized (this) {
                if (log.written() > SLACK + 4L * keys()) {
                    sync();
                    rewrite();
                }
            }
        }
    }

    private int keys() {
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
            records.add(record(PUT, entry));
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
