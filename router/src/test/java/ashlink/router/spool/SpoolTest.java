package ashlink.router.spool;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.log.FaultyDisk;
import ashlink.capture.log.FolderDisk;
import ashlink.router.core.StatementOutcome;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Status;
import ashlink.router.statement.SpoolBudget;
import ashlink.wire.Quota;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the idempotency key log and the page store, including disk faults. */
class SpoolTest {

    @TempDir Path dir;

    private static IdempotencyKeyTable table() {
        return new IdempotencyKeyTable(100, 1L << 40);
    }

    private static Entry claim(IdempotencyKeyTable table, String key) {
        return table.claim("u", key, "d-" + key, "s-" + key, 1).entry();
    }

    // Idempotency keys

    @Test
    void storedKeysSurviveACrashAndTheLogIsCompacted() throws Exception {
        IdempotencyKeyTable table = table();
        IdempotencyKeyLog log = new IdempotencyKeyLog(FolderDisk.writing(dir), table, 1);
        for (int i = 0; i < 20; i++) {
            Entry entry = claim(table, "k" + i);
            log.put(entry);
            if (i % 4 == 0) {
                table.put(entry.completed(StatementOutcome.SERVED));
                log.put(entry.completed(StatementOutcome.SERVED));
            } else if (i % 4 == 1) {
                table.release("u", entry.key());
                log.release(entry);
            }
        }
        // Simulates a crash: closing the log writes nothing more.
        log.close();
        IdempotencyKeyTable reloaded = table();
        IdempotencyKeyLog reopened = new IdempotencyKeyLog(FolderDisk.writing(dir), reloaded, 1);
        assertEquals(15, reloaded.entries().size());
        assertEquals(Status.COMPLETED, reloaded.findByStatement("s-k4").status());
        assertEquals(StatementOutcome.SERVED, reloaded.findByStatement("s-k4").outcome());
        assertEquals(Status.UNKNOWN, reloaded.findByStatement("s-k2").status());
        assertEquals(null, reloaded.findByStatement("s-k5"));
        try (Stream<Path> files = Files.list(dir)) {
            assertEquals(
                    1,
                    files.filter(path -> path.toString().endsWith(".seg")).count(),
                    "the log before compaction is deleted");
        }
        reopened.close();
    }

    @Test
    void truncatedLogIsReadUpToItsLastCompleteRecord() throws Exception {
        IdempotencyKeyTable table = table();
        IdempotencyKeyLog log = new IdempotencyKeyLog(FolderDisk.writing(dir), table, 1);
        Path file;
        try (Stream<Path> files = Files.list(dir)) {
            file = files.filter(path -> path.toString().endsWith(".seg")).findFirst().orElse(null);
        }
        List<Long> sizes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            log.put(claim(table, "k" + i));
            if (file == null) {
                try (Stream<Path> files = Files.list(dir)) {
                    file =
                            files.filter(path -> path.toString().endsWith(".seg"))
                                    .findFirst()
                                    .orElseThrow();
                }
            }
            sizes.add(Files.size(file));
        }
        log.close();
        byte[] content = Files.readAllBytes(file);
        for (int cut = 0; cut <= content.length; cut++) {
            Path copy = Files.createDirectory(dir.resolve("cut" + cut));
            Files.write(copy.resolve(file.getFileName()), Arrays.copyOf(content, cut));
            IdempotencyKeyTable reloaded = table();
            new IdempotencyKeyLog(FolderDisk.writing(copy), reloaded, 1).close();
            int cutLength = cut;
            assertEquals(
                    sizes.stream().filter(size -> size <= cutLength).count(),
                    reloaded.entries().size(),
                    "truncated to " + cut + " bytes");
        }
    }

    @Test
    void failedSyncIsReportedAndTheNextSyncSucceeds() throws Exception {
        IdempotencyKeyTable table = table();
        FaultyDisk disk = new FaultyDisk();
        IdempotencyKeyLog log = new IdempotencyKeyLog(disk, table, 1);
        log.put(claim(table, "a"));
        disk.syncFails(true);
        assertThrows(IOException.class, () -> log.put(claim(table, "b")));
        disk.syncFails(false);
        log.put(claim(table, "c"));
        IdempotencyKeyTable reloaded = table();
        new IdempotencyKeyLog(disk.afterPowerLoss(new SplittableRandom(1)), reloaded, 1);
        assertTrue(
                reloaded.findByStatement("s-a") != null && reloaded.findByStatement("s-c") != null);
    }

    @Test
    void acknowledgedKeysSurviveAPowerLossAfterShortWrites() throws Exception {
        SplittableRandom random = new SplittableRandom(3);
        int rejected = 0;
        for (int i = 0; i < 200; i++) {
            IdempotencyKeyTable table = table();
            FaultyDisk disk = new FaultyDisk();
            IdempotencyKeyLog log = new IdempotencyKeyLog(disk, table, 1);
            List<String> acknowledged = new ArrayList<>();
            int faultyWrite = random.nextInt(20);
            for (int n = 0; n < 20; n++) {
                disk.shortWriteIn(n == faultyWrite ? random.nextInt(2) : -1);
                try {
                    log.put(claim(table, "k" + n));
                    acknowledged.add("s-k" + n);
                } catch (IOException e) {
                    rejected++;
                }
            }
            IdempotencyKeyTable reloaded = table();
            new IdempotencyKeyLog(disk.afterPowerLoss(random), reloaded, 1);
            assertTrue(
                    acknowledged.stream()
                            .allMatch(statement -> reloaded.findByStatement(statement) != null),
                    "iteration " + i);
        }
        assertTrue(rejected > 50, "rejected writes: " + rejected);
    }

    // Pages

    private PageStore store(SpoolFiles files, long totalBytes, long memoryBytes) {
        return new PageStore(
                files,
                new SpoolBudget(new SpoolBudget.Limits(totalBytes, totalBytes, totalBytes, 0)),
                Quota.NONE,
                memoryBytes);
    }

    @Test
    void pagesAreReadAsStoredAndDamageIsDetected() throws Exception {
        try (SpoolDirectory files = new SpoolDirectory(dir, "r1", "b2")) {
            PageStore pageStore = store(files, 1_000, 10);
            PageStore.StoredPage small =
                    pageStore.store("s", "u", 0, new byte[] {1, 2, 3}, 3, 0, () -> false);
            PageStore.StoredPage large =
                    pageStore.store(
                            "s",
                            "u",
                            1,
                            new byte[] {4, 5, 6, 7, 8, 9, 10, 11, 0, 0},
                            8,
                            3,
                            () -> false);
            assertArrayEquals(new byte[] {1, 2, 3}, pageStore.read(small));
            assertArrayEquals(new byte[] {4, 5, 6, 7, 8, 9, 10, 11}, pageStore.read(large));
            assertEquals(8, pageStore.usedBytes());
            Path page = dir.resolve(files.list().get(0));
            Files.write(page, new byte[] {4, 5, 6, 7, 8, 9, 10, 12});
            assertThrows(IOException.class, () -> pageStore.read(large));
            pageStore.release(large);
            pageStore.release(large);
            assertEquals(0, pageStore.usedBytes());
            assertFalse(Files.exists(page));
        }
    }

    @Test
    void storingBlocksUntilSpaceIsReleasedOrTheStatementIsCancelled() throws Exception {
        PageStore pageStore = store(null, 10, 0);
        PageStore.StoredPage first = pageStore.store("s", "u", 0, new byte[8], 8, 0, () -> false);
        CountDownLatch stored = new CountDownLatch(1);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                pageStore.store("s", "u", 1, new byte[8], 8, 0, () -> false);
                                stored.countDown();
                            } catch (IOException | InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        thread.start();
        assertFalse(stored.await(50, TimeUnit.MILLISECONDS));
        pageStore.release(first);
        assertTrue(stored.await(20, TimeUnit.SECONDS));
        AtomicBoolean cancel = new AtomicBoolean();
        CountDownLatch failed = new CountDownLatch(1);
        new Thread(
                        () -> {
                            assertThrows(
                                    IOException.class,
                                    () ->
                                            pageStore.store(
                                                    "s", "u", 2, new byte[8], 8, 0, cancel::get));
                            failed.countDown();
                        })
                .start();
        assertFalse(failed.await(50, TimeUnit.MILLISECONDS));
        cancel.set(true);
        pageStore.wake();
        assertTrue(failed.await(20, TimeUnit.SECONDS));
        assertThrows(
                IOException.class,
                () -> pageStore.store("t", "u", 0, new byte[11], 11, 0, () -> false),
                "a page larger than the budget");
    }

    @Test
    void deletesOnlyTheFilesOfEarlierRunsOfTheSameRouter() throws Exception {
        for (String name :
                List.of(
                        "r1.b1.s~x.0.page",
                        "r1.b1.sx.0.page",
                        "r10.b1.sx.0.page",
                        "r1.b2.sx.0.page",
                        "r2.b1.sx.0.page",
                        "r1.notes",
                        "notes.page")) {
            Files.write(dir.resolve(name), new byte[1]);
        }
        try (SpoolDirectory files = new SpoolDirectory(dir, "r1", "b2")) {
            assertEquals(1, store(files, 10, 0).deleteFilesOfEarlierRuns());
            assertThrows(
                    IOException.class,
                    () -> new SpoolDirectory(dir, "r1", "b3"),
                    "a second router with the same name");
            new SpoolDirectory(dir, "r10", "b3").close();
        }
        assertFalse(Files.exists(dir.resolve("r1.b1.sx.0.page")));
        assertTrue(
                Files.exists(dir.resolve("r1.b2.sx.0.page"))
                        && Files.exists(dir.resolve("r10.b1.sx.0.page")));
    }
}
