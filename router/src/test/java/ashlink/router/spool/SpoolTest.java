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

/** The idempotency key log and the page store, with faults of the disk. */
class SpoolTest {

    @TempDir Path dir;

    private static IdempotencyKeyTable table() {
        return new IdempotencyKeyTable(100, 1L << 40);
    }

    private static Entry claim(IdempotencyKeyTable table, String key) {
        return table.claim("u", key, "d-" + key, "s-" + key, 1).entry();
    }

    // Keys
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
        // Closing writes nothing more.
        log.close();
        IdempotencyKeyTable after = table();
        IdempotencyKeyLog next = new IdempotencyKeyLog(FolderDisk.writing(dir), after, 1);
        assertEquals(15, after.entries().size());
        assertEquals(Status.COMPLETED, after.findByStatement("s-k4").status());
        assertEquals(StatementOutcome.SERVED, after.findByStatement("s-k4").outcome());
        assertEquals(Status.UNKNOWN, after.findByStatement("s-k2").status());
        assertEquals(null, after.findByStatement("s-k5"));
        try (Stream<Path> files = Files.list(dir)) {
            assertEquals(
                    1,
                    files.filter(path -> path.toString().endsWith(".seg")).count(),
                    "the log before is gone");
        }
        next.close();
    }

    @Test
    void truncatedLogIsReadUpToItsLastRecord() throws Exception {
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
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut <= whole.length; cut++) {
            Path copy = Files.createDirectory(dir.resolve("cut" + cut));
            Files.write(copy.resolve(file.getFileName()), Arrays.copyOf(whole, cut));
            IdempotencyKeyTable after = table();
            new IdempotencyKeyLog(FolderDisk.writing(copy), after, 1).close();
            int at = cut;
            assertEquals(
                    sizes.stream().filter(s -> s <= at).count(),
                    after.entries().size(),
                    "cut at " + cut);
        }
    }

    @Test
    void failedSyncIsReportedAndTheNextSucceeds() throws Exception {
        IdempotencyKeyTable table = table();
        FaultyDisk disk = new FaultyDisk();
        IdempotencyKeyLog log = new IdempotencyKeyLog(disk, table, 1);
        log.put(claim(table, "a"));
        disk.syncFails(true);
        assertThrows(IOException.class, () -> log.put(claim(table, "b")));
        disk.syncFails(false);
        log.put(claim(table, "c"));
        IdempotencyKeyTable after = table();
        new IdempotencyKeyLog(disk.afterPowerLoss(new SplittableRandom(1)), after, 1);
        assertTrue(after.findByStatement("s-a") != null && after.findByStatement("s-c") != null);
    }

    @Test
    void acknowledgedKeysSurviveAPowerLoss() throws Exception {
        SplittableRandom random = new SplittableRandom(3);
        int lost = 0;
        for (int i = 0; i < 200; i++) {
            IdempotencyKeyTable table = table();
            FaultyDisk disk = new FaultyDisk();
            IdempotencyKeyLog log = new IdempotencyKeyLog(disk, table, 1);
            List<String> acknowledged = new ArrayList<>();
            int faulty = random.nextInt(20);
            for (int n = 0; n < 20; n++) {
                disk.shortWriteIn(n == faulty ? random.nextInt(2) : -1);
                try {
                    log.put(claim(table, "k" + n));
                    acknowledged.add("s-k" + n);
                } catch (IOException e) {
                    lost++;
                }
            }
            IdempotencyKeyTable after = table();
            new IdempotencyKeyLog(disk.afterPowerLoss(random), after, 1);
            assertTrue(
                    acknowledged.stream().allMatch(text -> after.findByStatement(text) != null),
                    "run " + i);
        }
        assertTrue(lost > 50, "faults at stake: " + lost);
    }

    // Pages
    private PageStore store(SpoolFiles files, long all, long memory) {
        return new PageStore(
                files,
                new SpoolBudget(new SpoolBudget.Limits(all, all, all, 0)),
                Quota.NONE,
                memory);
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
    void storingBlocksUntilSpaceIsReleasedOrItIsCancelled() throws Exception {
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
        AtomicBoolean over = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(1);
        new Thread(
                        () -> {
                            assertThrows(
                                    IOException.class,
                                    () ->
                                            pageStore.store(
                                                    "s", "u", 2, new byte[8], 8, 0, over::get));
                            ended.countDown();
                        })
                .start();
        assertFalse(ended.await(50, TimeUnit.MILLISECONDS));
        over.set(true);
        pageStore.wake();
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        assertThrows(
                IOException.class,
                () -> pageStore.store("t", "u", 0, new byte[11], 11, 0, () -> false),
                "never fits");
    }

    @Test
    void deletesOnlyTheFilesOfEarlierStarts() throws Exception {
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
                    "two of one name");
            new SpoolDirectory(dir, "r10", "b3").close();
        }
        assertFalse(Files.exists(dir.resolve("r1.b1.sx.0.page")));
        assertTrue(
                Files.exists(dir.resolve("r1.b2.sx.0.page"))
                        && Files.exists(dir.resolve("r10.b1.sx.0.page")));
    }
}
