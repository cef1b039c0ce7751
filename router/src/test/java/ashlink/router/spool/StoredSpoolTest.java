package ashlink.router.spool;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.router.StoredFiles;
import ashlink.router.statement.SpoolBudget;
import ashlink.wire.Quota;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests with a spool that routers of an earlier build left behind when they were killed: a router
 * deletes the pages of its own earlier runs and keeps all other files. The spool is in {@code
 * src/test/resources/stored/spool}; the README in {@code stored} tells how the spool was written.
 */
class StoredSpoolTest {

    private static final List<String> PAGES_OF_EARLIER_RUNS =
            List.of(
                    "r1.ln0a0000.b7Zq_-9.1.page",
                    "r1.ln0b9j5c.sX4.1.page",
                    "r1.ln0b9j5c.sX4.2.page");
    private static final List<String> OTHER_FILES =
            List.of(
                    "r1.lock",
                    "r1.notes",
                    "r10.ln0b9j5c.sX4.1.page",
                    "r10.lock",
                    "r2.ln0b9j5c.sX4.1.page",
                    "r2.lock");
    private static final String NEW_BOOT = "ln0zzzzz";

    @TempDir Path folder;

    @BeforeEach
    void copy() throws Exception {
        StoredFiles.copyFolder("spool", folder);
    }

    private static PageStore store(SpoolFiles files) {
        SpoolBudget budget = new SpoolBudget(new SpoolBudget.Limits(1_000, 1_000, 1_000, 0));
        return new PageStore(files, budget, Quota.NONE, 0);
    }

    private SpoolDirectory openAs(String router, String boot) throws IOException {
        return new SpoolDirectory(folder, router, boot);
    }

    @Test
    void lockFileOfAKilledRouterIsNotLocked() throws Exception {
        assertTrue(Files.exists(folder.resolve("r1.lock")));
        openAs("r1", NEW_BOOT).close();
    }

    @Test
    void pagesOfEarlierRunsAreNotFromThisRun() throws Exception {
        try (SpoolDirectory files = openAs("r1", NEW_BOOT)) {
            assertEquals(PAGES_OF_EARLIER_RUNS, files.list().stream().sorted().toList());
            assertTrue(files.list().stream().noneMatch(files::isFromThisRun));
        }
    }

    @Test
    void deletesOnlyPagesOfItsOwnEarlierRuns() throws Exception {
        assertEquals(
                5,
                Files.size(folder.resolve("r1.ln0b9j5c.sX4.1.page")),
                "the size of a partially written page");
        try (SpoolDirectory files = openAs("r1", NEW_BOOT)) {
            assertEquals(PAGES_OF_EARLIER_RUNS.size(), store(files).deleteFilesOfEarlierRuns());
            assertEquals(List.of(), files.list());
        }
        assertEquals(OTHER_FILES, StoredFiles.names(folder));
    }

    @Test
    void pageKeepsItsStoredFileNameAndBytes() throws Exception {
        String name = "r1.ln0a0000.b7Zq_-9.1.page";
        byte[] storedBytes = Files.readAllBytes(folder.resolve(name));
        Files.delete(folder.resolve(name));
        try (SpoolDirectory files = openAs("r1", "ln0a0000")) {
            store(files)
                    .store("r1~b7Zq_-9", "ann", 1, storedBytes, storedBytes.length, 0, () -> false);
        }
        assertArrayEquals(storedBytes, Files.readAllBytes(folder.resolve(name)));
        assertEquals("page 1 of r1~b7Zq_-9\n", Files.readString(folder.resolve(name)));
    }
}
