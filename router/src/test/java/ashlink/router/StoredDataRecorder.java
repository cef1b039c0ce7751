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
 * Writes what {@code StoredKeysTest}, {@code StoredListTest} and {@code StoredSpoolTest} read: a
 * journal of keys, a list of engines and a spool, each as a router leaves it that is killed.
 */
final class StoredDataRecorder {

    private static final long MS = 1_000_000L;
    private static final long SECOND_MS = 1_000;
    private static final long START_MS = 1_700_000_000_000L;
    private static final long DAY_MS = 24 * 3_600 * SECOND_MS;
    private static final String BOOT_BEFORE = "ln0b9j5c";
    private static final String BOOT_FIRST = "ln0a0000";

    private StoredDataRecorder() {}

    /** Writes all of it into the folder that is named. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        firstStartOfKeys(folder.resolve("keys"));
        secondStartOfKeys(folder.resolve("keys"));
        list(folder.resolve("engines.list"));
        spool(folder.resolve("spool"));
    }

    // Keys
    private static void firstStartOfKeys(Path folder) throws IOException {
        IdempotencyKeyTable table = new IdempotencyKeyTable(100, DAY_MS);
        try (IdempotencyKeyLog journal =
                new IdempotencyKeyLog(FolderDisk.writing(folder), table, START_MS)) {
            claim(journal, table, "ann", "over-its-time", START_MS - DAY_MS / 2);
            claim(journal, table, "ann", "under-way-at-the-first-end", START_MS + 1);
            for (StatementOutcome ending : StatementOutcome.values()) {
                answer(
                        journal,
                        table,
                        claim(
                                journal,
                                table,
                                "ann",
                                "ending-" + ending.ordinal(),
                                START_MS + 10 + ending.ordinal()),
                        ending);
            }
        }
    }

    private static void secondStartOfKeys(Path folder) throws IOException {
        IdempotencyKeyTable table = new IdempotencyKeyTable(100, DAY_MS);
        long nowMs = START_MS + 3_600 * SECOND_MS;
        try (IdempotencyKeyLog journal =
                new IdempotencyKeyLog(FolderDisk.writing(folder), table, nowMs)) {
            IdempotencyKeyTable.Entry free = claim(journal, table, "böb", "free-again", nowMs + 1);
            claim(journal, table, "böb", "ending-0", nowMs + 2);
            table.release(free.user(), free.key());
            journal.release(free);
            IdempotencyKeyTable.Entry first = claim(journal, table, "", "answered-late", nowMs + 3);
            claim(journal, table, "", "under-way", nowMs + 4);
            answer(journal, table, first, StatementOutcome.SERVED);
        }
    }

    private static IdempotencyKeyTable.Entry claim(
            IdempotencyKeyLog journal,
            IdempotencyKeyTable table,
            String user,
            String key,
            long nowMs)
            throws IOException {
        IdempotencyKeyTable.Entry entry =
                table.claim(user, key, "digest of " + key, "r1~" + user + "-" + key, nowMs).entry();
        journal.put(entry);
        return entry;
    }

    private static void answer(
            IdempotencyKeyLog journal,
            IdempotencyKeyTable table,
            IdempotencyKeyTable.Entry entry,
            StatementOutcome ending)
            throws IOException {
        table.put(entry.completed(ending));
        journal.put(entry.completed(ending));
    }

    // The list of engines
    private static void list(Path file) throws IOException {
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

    // The spool
    private static void spool(Path folder) throws Exception {
        leave(folder, "r1", BOOT_FIRST, "r1~b7Zq_-9", 1);
        leave(folder, "r1", BOOT_BEFORE, "r1~sX4", 2);
        leave(folder, "r10", BOOT_BEFORE, "r10~sX4", 1);
        leave(folder, "r2", BOOT_BEFORE, "r2~sX4", 1);
        Path torn = folder.resolve("r1." + BOOT_BEFORE + ".sX4.1.page");
        Files.write(torn, Arrays.copyOf(Files.readAllBytes(torn), 5)); // killed within it
        Files.writeString(folder.resolve("r1.notes"), "an operator's\n");
    }

    /** Keeps pages of a statement and drops none: the first in memory, so many more in files. */
    private static void leave(Path folder, String router, String boot, String statement, int pages)
            throws Exception {
        SpoolBudget budget = new SpoolBudget(new SpoolBudget.Limits(1_000, 1_000, 1_000, 0));
        try (SpoolDirectory files = new SpoolDirectory(folder, router, boot)) {
            PageStore store = new PageStore(files, budget, Quota.NONE, 30);
            long before = 0;
            for (int page = 0; page <= pages; page++) {
                String text = "page " + page + " of " + statement + "\n";
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                store.store(statement, "ann", page, bytes, bytes.length, before, () -> false);
                before += bytes.length;
            }
        }
    }
}
