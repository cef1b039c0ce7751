package ashlink.router.spool;

import ashlink.router.statement.SpoolBudget;
import ashlink.router.statement.SpoolBudget.Reservation;
import ashlink.wire.Quota;
import java.io.IOException;
import java.util.Arrays;
import java.util.function.BooleanSupplier;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores pages of results: the first ones of a statement in memory, within a budget of its own, the
 * others in files within the budget of the spool. Storing a page blocks until the budget allows it.
 * Safe for use by several threads.
 */
public final class PageStore {

    private static final Logger LOG = LoggerFactory.getLogger(PageStore.class);

    /** A stored page, in memory or in a file. */
    public static final class StoredPage {
        private final String statement;
        private final String file;
        private final byte[] memory;
        private final int length;
        private final int checksum;
        private final boolean budgeted;
        private boolean released;

        private StoredPage(
                String statement,
                String file,
                byte[] memory,
                int length,
                int checksum,
                boolean budgeted) {
            this.statement = statement;
            this.file = file;
            this.memory = memory;
            this.length = length;
            this.checksum = checksum;
            this.budgeted = budgeted;
        }

        /** Returns the length in bytes. */
        public int length() {
            return length;
        }
    }

    private final SpoolFiles files;
    private final SpoolBudget budget;
    private final Quota memory;
    private final long memoryBytes;

    /**
     * A store.
     *
     * @param files files of the spool; null keeps all pages in memory, within the same budget
     * @param memory budget of pages in memory beside the budget of the spool
     * @param memoryBytes limit of those pages for each statement
     */
    public PageStore(SpoolFiles files, SpoolBudget budget, Quota memory, long memoryBytes) {
        this.files = files;
        this.budget = budget;
        this.memory = memory;
        this.memoryBytes = memoryBytes;
    }

    /**
     * Stores the first {@code length} bytes as a page; blocks until the budget allows it.
     *
     * @param storedBytes bytes of the statement that are stored already
     * @param cancelled ends the wait with an exception once it is true and {@link #wake} is called
     * @throws IOException if the wait is cancelled, the page is too large, or the disk fails
     */
    public StoredPage store(
            String statement,
            String user,
            int page,
            byte[] bytes,
            int length,
            long storedBytes,
            BooleanSupplier cancelled)
            throws IOException, InterruptedException {
        if (storedBytes + length <= memoryBytes && memory.take(length)) {
            return new StoredPage(statement, null, Arrays.copyOf(bytes, length), length, 0, false);
        }
        reserve(statement, user, length, cancelled);
        if (files == null) {
            return new StoredPage(statement, null, Arrays.copyOf(bytes, length), length, 0, true);
        }
        String name = files.name(statement, page);
        try {
            files.write(name, bytes, length);
        } catch (IOException e) {
            release(statement, length);
            throw new IOException("the spool fails: " + e.getMessage(), e);
        }
        return new StoredPage(statement, name, null, length, checksum(bytes, length), true);
    }

    private synchronized void reserve(
            String statement, String user, int length, BooleanSupplier cancelled)
            throws IOException, InterruptedException {
        while (true) {
            Reservation verdict =
                    cancelled.getAsBoolean() ? null : budget.reserve(statement, user, length);
            if (verdict == Reservation.GRANTED) {
                return;
            }
            if (verdict != Reservation.WAIT) {
                throw new IOException(
                        verdict == null
                                ? "nobody wants the result any more"
                                : "a page of " + length + " bytes is over the limit of the spool");
            }
            wait();
        }
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * Returns the bytes of a page.
     *
     * @throws IOException if they cannot be read or differ from those that were stored
     */
    public byte[] read(StoredPage stored) throws IOException {
        if (stored.memory != null) {
            return stored.memory;
        }
        byte[] bytes = files.read(stored.file);
        if (bytes.length != stored.length || checksum(bytes, stored.length) != stored.checksum) {
            throw new IOException("the spool gives back other bytes than it was given");
        }
        return bytes;
    }

    /** Releases a page; idempotent. */
    public void release(StoredPage stored) {
        synchronized (stored) {
            if (stored.released) {
                return;
            }
            stored.released = true;
        }
        if (stored.file != null) {
            try {
                files.delete(stored.file);
            } catch (IOException e) {
                LOG.warn("spool file not deleted until the next start error=\"{}\"", e.toString());
            }
        }
        if (stored.budgeted) {
            release(stored.statement, stored.length);
        } else {
            memory.give(stored.length);
        }
    }

    private synchronized void release(String statement, long bytes) {
        budget.release(statement, bytes);
        notifyAll();
    }

    /** Wakes blocked threads, so that they check whether they are cancelled. */
    public synchronized void wake() {
        notifyAll();
    }

    /** Returns the used bytes of the spool's budget. */
    public synchronized long usedBytes() {
        return budget.usedBytes();
    }

    /** Deletes the files of earlier starts of this router; returns their number. */
    public int deleteLeftovers() throws IOException {
        int deleted = 0;
        if (files != null) {
            for (String name : files.list()) {
                if (!files.isOwn(name)) {
                    files.delete(name);
                    deleted++;
                }
            }
        }
        return deleted;
    }

    /** Closes the files of the spool. */
    public void close() throws IOException {
        if (files != null) {
            files.close();
        }
    }
}
