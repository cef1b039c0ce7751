package ashlink.router;

import ashlink.capture.log.FolderDisk;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import ashlink.router.core.StatementOutcome;
import ashlink.router.discovery.EndpointListStore;
import ashlink.router.spool.IdempotencyKeyLog;
import ashlink.router.spool.PageStore;
import ashlink.router.spool.SpoolDirectory;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.SpoolBudget;
import ashlink.wire.Quota;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Writes the files that {@code StoredKeysTest}, {@code StoredListTest} and {@code StoredSpoolTest}
 * read: an idempotency key log, an endpoint list and a spool, each in the state that a killed
 * router leaves behind.
 */
final class StoredDataRecorder {

    private static final long MS = 1_000_000L;
    private static final long SECOND_MS = 1_000;
    private static final long START_MS = 1_700_000_000_000L;
    private static final long DAY_MS = 24 * 3_600 * SECOND_MS;
    private static final String PREVIOUS_BOOT = "ln0b9j5c";
    private static final String FIRST_BOOT = "ln0a0000";

    private StoredDataRecorder() {}

    /**
     * Writes all files.
     *
     * @param arguments path of the directory to write to
     */
    public static void main(String[] arguments) throws Exception {
        Path directory = Path.of(arguments[0]);
        writeKeysOfFirstRun(directory.resolve("keys"));
        writeKeysOfSecondRun(directory.resolve("keys"));
        writeEndpointList(directory.resolve("engines.list"));
        writeSpool(directory.resolve("spool"));
    }

    // Idempotency keys
    private static void writeKeysOfFirstRun(Path directory) throws IOException {
        IdempotencyKeyTable table = new IdempotencyKeyTable(100, DAY_MS);
        try (IdempotencyKeyLog keyLog =
                new IdempotencyKeyLog(FolderDisk.writing(directory), table, START_MS)) {
            claim(keyLog, table, "ann", "over-its-time", START_MS - DAY_MS / 2);
            claim(keyLog, table, "ann", "under-way-at-the-first-end", START_MS + 1);
            for (StatementOutcome outcome : StatementOutcome.values()) {
                complete(
                        keyLog,
                        table,
                        claim(
                                keyLog,
                                table,
                                "ann",
                                "ending-" + outcome.ordinal(),
                                START_MS + 10 + outcome.ordinal()),
                        outcome);
            }
        }
    }

    private static void writeKeysOfSecondRun(Path directory) throws IOException {
        IdempotencyKeyTable table = new IdempotencyKeyTable(100, DAY_MS);
        long nowMs = START_MS + 3_600 * SECOND_MS;
        try (IdempotencyKeyLog keyLog =
                new IdempotencyKeyLog(FolderDisk.writing(directory), table, nowMs)) {
            IdempotencyKeyTable.Entry released =
                    claim(keyLog, table, "böb", "free-again", nowMs + 1);
            claim(keyLog, table, "böb", "ending-0", nowMs + 2);
            table.release(released.user(), released.key());
            keyLog.release(released);
            IdempotencyKeyTable.Entry first = claim(keyLog, table, "", "answered-late", nowMs + 3);
            claim(keyLog, table, "", "under-way", nowMs + 4);
            complete(keyLog, table, first, StatementOutcome.SERVED);
        }
    }

    private static IdempotencyKeyTable.Entry claim(
            IdempotencyKeyLog keyLog,
            IdempotencyKeyTable table,
            String user,
            String key,
            long nowMs)
            throws IOException {
        IdempotencyKeyTable.Entry entry =
                table.claim(user, key, "digest of " + key, "r1~" + user + "-" + key, nowMs).entry();
        keyLog.put(entry);
        return entry;
    }

    private static void complete(
            IdempotencyKeyLog keyLog,
            IdempotencyKeyTable table,
            IdempotencyKeyTable.Entry entry,
            StatementOutcome outcome)
            throws IOException {
        table.put(entry.completed(outcome));
        keyLog.put(entry.completed(outcome));
    }

    // Endpoint list
    private static void writeEndpointList(Path file) throws IOException {
        long nowNs = 5_000 * SECOND_MS * MS;
        new EndpointListStore(file)
                .save(
                        List.of(
                                new Endpoint(
                                        "q1",
                                        EndpointState.READY,
                                        "z",
                                        "large",
                                        3,
                                        nowNs - 2 * SECOND_MS * MS),
                                new Endpoint(
                                        "q2", EndpointState.DRAINING, "mañana", "small", -1, 0),
                                new Endpoint(
                                        "q3",
                                        EndpointState.REMOVED,
                                        "",
                                        "",
                                        Long.MAX_VALUE,
                                        nowNs - 90 * DAY_MS * MS)),
                        nowNs,
                        START_MS);
    }

    // Spool
    private static void writeSpool(Path directory) throws Exception {
        storePages(directory, "r1", FIRST_BOOT, "r1~b7Zq_-9", 1);
        storePages(directory, "r1", PREVIOUS_BOOT, "r1~sX4", 2);
        storePages(directory, "r10", PREVIOUS_BOOT, "r10~sX4", 1);
        storePages(directory, "r2", PREVIOUS_BOOT, "r2~sX4", 1);
        Path truncated = directory.resolve("r1." + PREVIOUS_BOOT + ".sX4.1.page");
        // The router was killed while it wrote this page.
        Files.write(truncated, Arrays.copyOf(Files.readAllBytes(truncated), 5));
        Files.writeString(directory.resolve("r1.notes"), "an operator's\n");
    }

    /**
     * Stores pages of a statement and releases none. The memory limit holds only the first page, so
     * the given number of further pages is written to files.
     */
    private static void storePages(
            Path directory, String router, String boot, String statement, int pages)
            throws Exception {
        SpoolBudget budget = new SpoolBudget(new SpoolBudget.Limits(1_000, 1_000, 1_000, 0));
        try (SpoolDirectory spoolDirectory = new SpoolDirectory(directory, router, boot)) {
            PageStore store = new PageStore(spoolDirectory, budget, Quota.NONE, 30);
            long offset = 0;
            for (int page = 0; page <= pages; page++) {
                String text = "page " + page + " of " + statement + "\n";
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                store.store(statement, "ann", page, bytes, bytes.length, offset, () -> false);
                offset += bytes.length;
            }
        }
    }
}
