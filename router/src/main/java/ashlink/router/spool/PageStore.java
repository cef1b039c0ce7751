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
 * Stores pages of results: the first pages of a statement in memory, within a separate memory
 * budget, and the other pages in files, within the spool budget. Storing a page blocks until the
 * spool budget has room for the page. Safe for use by several threads.
 */
public final class PageStore {

    private static final Logger LOG = LoggerFactory.getLogger(PageStore.class);

    /** A stored page, in memory or in a file. */
    public static final class StoredPage {
        private final String statement;
        private final String file;
        private final byte[] bytes;
        private final int length;
        private final int checksum;
        private final boolean budgeted;
        private boolean released;

        private StoredPage(
                String statement,
                String file,
                byte[] bytes,
                int length,
                int checksum,
                boolean budgeted) {
            this.statement = statement;
            this.file = file;
            this.bytes = bytes;
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
    private final Quota memoryQuota;
    private final long maxMemoryBytes;

    /**
     * Creates a store.
     *
     * @param files files of the spool; if null, all pages are in memory, within the same budgets
     * @param memoryQuota memory budget of the first pages, separate from the spool budget
     * @param maxMemoryBytes limit of the first pages of each statement, in bytes
     */
    public PageStore(SpoolFiles files, SpoolBudget budget, Quota memoryQuota, long maxMemoryBytes) {
        this.files = files;
        this.budget = budget;
        this.memoryQuota = memoryQuota;
        this.maxMemoryBytes = maxMemoryBytes;
    }

    /**
     * Stores the first {@code length} bytes as a page; blocks until the budget has room for it.
     *
     * @param storedBytes bytes of the statement that are already stored
     * @param cancelled tells whether to end the wait with an exception; evaluated again after each
     *     {@link #wake}
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
        if (storedBytes + length <= maxMemoryBytes && memoryQuota.reserve(length)) {
            return new StoredPage(statement, null, Arrays.copyOf(bytes, length), length, 0, false);
        }
        reserve(statement, user, length, cancelled);
        if (files == null) {
            return new StoredPage(statement, null, Arrays.copyOf(bytes, length), length, 0, true);
        }
        String name = files.fileName(statement, page);
        try {
            files.write(name, bytes, length);
        } catch (IOException e) {
            release(statement, length);
            throw new IOException("cannot write spool file " + name + ": " + e.getMessage(), e);
        }
        return new StoredPage(statement, name, null, length, checksum(bytes, length), true);
    }

    private synchronized void reserve(
            String statement, String user, int length, BooleanSupplier cancelled)
            throws IOException, InterruptedException {
        while (true) {
            Reservation reservation =
                    cancelled.getAsBoolean() ? null : budget.reserve(statement, user, length);
            if (reservation == Reservation.GRANTED) {
                return;
            }
            if (reservation != Reservation.WAIT) {
                throw new IOException(
                        reservation == null
                                ? "the result is no longer needed"
                                : "a page of " + length + " bytes exceeds a limit of the spool");
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
     * @throws IOException if the page cannot be read or differs from the stored page
     */
    public byte[] read(StoredPage stored) throws IOException {
        if (stored.bytes != null) {
            return stored.bytes;
        }
        byte[] bytes = files.read(stored.file);
        if (bytes.length != stored.length || checksum(bytes, stored.length) != stored.checksum) {
            throw new IOException(
                    "spool file " + stored.file + " differs from the page that was stored");
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
                LOG.warn(
                        "spool file not deleted, retried at the next start file={} error=\"{}\"",
                        stored.file,
                        e.toString());
            }
        }
        if (stored.budgeted) {
            release(stored.statement, stored.length);
        } else {
            memoryQuota.release(stored.length);
        }
    }

    private synchronized void release(String statement, long bytes) {
        budget.release(statement, bytes);
        notifyAll();
    }

    /** Wakes threads that are blocked in {@link #store}, so that they check for cancellation. */
    public synchronized void wake() {
        notifyAll();
    }

    /** Returns the number of bytes that are reserved from the spool budget. */
    public synchronized long usedBytes() {
        return budget.usedBytes();
    }

    /** Deletes the files of earlier runs of this router; returns the number of deleted files. */
    public int deleteFilesOfEarlierRuns() throws IOException {
        int deleted = 0;
        if (files != null) {
            for (String name : files.list()) {
                if (!files.isFromThisRun(name)) {
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
