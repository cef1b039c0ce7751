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
 * Keeps pages: the first of a statement in memory, while there is some, the others in files under
 * the budget. Who stores a page waits until the budget has room.
 */
public final class PageStore {

    private static final Logger LOG = LoggerFactory.getLogger(PageStore.class);

    /**
     * A page that is kept: in {@code memory}, or in a file of {@code length} bytes with that
     * checksum.
     */
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

        /** Its length in bytes. */
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
     * @param files where pages go that do not stay in memory; null: all stay there, under the same
     *     budget
     * @param memoryBytes bytes of a statement that stay in memory beside the budget
     */
    public PageStore(SpoolFiles files, SpoolBudget budget, Quota memory, long memoryBytes) {
        this.files = files;
        this.budget = budget;
        this.memory = memory;
        this.memoryBytes = memoryBytes;
    }

    /**
     * Keeps a page.
     *
     * @param before bytes of the statement that are in memory already
     * @param over true once nobody wants it any more: ends the wait with an exception
     */
    public StoredPage store(
            String statement,
            String user,
            int page,
            byte[] bytes,
            int length,
            long before,
            BooleanSupplier over)
            throws IOException, InterruptedException {
        if (before + length <= memoryBytes && memory.take(length)) {
            return new StoredPage(statement, null, Arrays.copyOf(bytes, length), length, 0, false);
        }
        reserve(statement, user, length, over);
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
            String statement, String user, int length, BooleanSupplier over)
            throws IOException, InterruptedException {
        while (true) {
            Reservation verdict =
                    over.getAsBoolean() ? null : budget.reserve(statement, user, length);
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
     * The bytes of a page, exactly as they were stored; an exception where the disk does not give
     * them back.
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

    /** Lets go of a page. */
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
                LOG.warn("a file of the spool stays behind until the next start: {}", e.toString());
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

    /** Wakes who waits, to look whether somebody still wants it. */
    public synchronized void wake() {
        notifyAll();
    }

    /** Bytes of the budget that are taken. */
    public synchronized long usedBytes() {
        return budget.usedBytes();
    }

    /** Removes what earlier starts of this router left behind; returns how many files. */
    public int deleteLeftovers() throws IOException {
        int gone = 0;
        if (files != null) {
            for (String name : files.list()) {
                if (!files.isOwn(name)) {
                    files.delete(name);
                    gone++;
                }
            }
        }
        return gone;
    }

    /** Ends the use of its files. */
    public void close() throws IOException {
        if (files != null) {
            files.close();
        }
    }
}
