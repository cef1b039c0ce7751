package ashlink.router.spool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import ashlink.capture.log.FolderDisk;
import ashlink.router.StoredFiles;
import ashlink.router.core.StatementOutcome;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Status;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that an idempotency key log written by an earlier build, over two runs of a router, is read
 * as the table that was written. The log is in {@code src/test/resources/stored/keys}; the README
 * in {@code stored} tells how the log was written.
 */
class StoredKeysTest {

    private static final long RETENTION_MS = 24 * 3_600_000L;

    /** 12 hours after the first start: the key claimed 12 hours before that start has expired. */
    private static final long NOW_MS = 1_700_000_000_000L + RETENTION_MS / 2;

    private static final List<String> EXPECTED =
            List.of(
                    "ann|under-way-at-the-first-end|digest of under-way-at-the-first-end"
                            + "|r1~ann-under-way-at-the-first-end|2|-1|1700000000001",
                    "ann|ending-0|digest of ending-0|r1~ann-ending-0|1|0|1700000000010",
                    "ann|ending-1|digest of ending-1|r1~ann-ending-1|1|1|1700000000011",
                    "ann|ending-2|digest of ending-2|r1~ann-ending-2|1|2|1700000000012",
                    "ann|ending-3|digest of ending-3|r1~ann-ending-3|1|3|1700000000013",
                    "ann|ending-4|digest of ending-4|r1~ann-ending-4|1|4|1700000000014",
                    "ann|ending-5|digest of ending-5|r1~ann-ending-5|1|5|1700000000015",
                    "ann|ending-6|digest of ending-6|r1~ann-ending-6|1|6|1700000000016",
                    "ann|ending-7|digest of ending-7|r1~ann-ending-7|1|7|1700000000017",
                    "ann|ending-8|digest of ending-8|r1~ann-ending-8|1|8|1700000000018",
                    "böb|ending-0|digest of ending-0|r1~böb-ending-0|2|-1|1700003600002",
                    "|answered-late|digest of answered-late|r1~-answered-late|1|0|1700003600003",
                    "|under-way|digest of under-way|r1~-under-way|2|-1|1700003600004");

    @TempDir Path folder;

    @BeforeEach
    void copy() throws Exception {
        StoredFiles.copyFolder("keys", folder);
    }

    private IdempotencyKeyTable open(long nowMs) throws IOException {
        IdempotencyKeyTable table = new IdempotencyKeyTable(100, RETENTION_MS);
        new IdempotencyKeyLog(FolderDisk.writing(folder), table, nowMs).close();
        return table;
    }

    /** Returns each entry as user|key|digest|statement|status|outcome|claim time, with ordinals. */
    private static List<String> describeEntries(IdempotencyKeyTable table) {
        return table.entries().stream().map(StoredKeysTest::describe).toList();
    }

    private static String describe(Entry entry) {
        int outcomeOrdinal = entry.outcome() == null ? -1 : entry.outcome().ordinal();
        return String.join(
                "|",
                entry.user(),
                entry.key(),
                entry.digest(),
                entry.statement(),
                "" + entry.status().ordinal(),
                "" + outcomeOrdinal,
                "" + entry.claimedMs());
    }

    @Test
    void storedTableIsReadUnchanged() throws Exception {
        assertEquals(EXPECTED, describeEntries(open(NOW_MS)));
    }

    @Test
    void compactedTableIsReadUnchanged() throws Exception {
        open(NOW_MS);
        assertEquals(EXPECTED, describeEntries(open(NOW_MS)));
    }

    @Test
    void expiredKeyIsReleased() throws Exception {
        assertNull(open(NOW_MS).findByStatement("r1~ann-over-its-time"));
        StoredFiles.copyFolder("keys", Files.createDirectory(folder.resolve("early")));
        folder = folder.resolve("early");
        assertEquals(
                "over-its-time", open(NOW_MS - 1).findByStatement("r1~ann-over-its-time").key());
    }

    @Test
    void runningStatementsHaveAnUnknownOutcome() throws Exception {
        IdempotencyKeyTable table = open(NOW_MS);
        assertEquals(Status.UNKNOWN, table.findByStatement("r1~-under-way").status());
        assertEquals(
                Status.UNKNOWN,
                table.findByStatement("r1~ann-under-way-at-the-first-end").status());
    }

    /** The log stores constants by ordinal, so reordering them would misread stored logs. */
    @Test
    void enumConstantsHaveTheirStoredOrdinals() {
        assertEquals(
                List.of(Status.RUNNING, Status.COMPLETED, Status.UNKNOWN),
                List.of(Status.values()));
        assertEquals(
                List.of(
                        StatementOutcome.SERVED,
                        StatementOutcome.ERROR,
                        StatementOutcome.REJECTED,
                        StatementOutcome.NOT_ADMITTED,
                        StatementOutcome.FAILED,
                        StatementOutcome.INCOMPLETE,
                        StatementOutcome.CANCELLED,
                        StatementOutcome.PROTOCOL_VIOLATION,
                        StatementOutcome.CLIENT_DISCONNECTED),
                List.of(StatementOutcome.values()));
    }
}
