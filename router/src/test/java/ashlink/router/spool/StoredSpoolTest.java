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
 * The spool that killed routers of an earlier build left: a start removes the pages of its own
 * earlier starts, and keeps all else. It is {@code src/test/resources/stored/spool}; the README
 * beside tells how it was written.
 */
class StoredSpoolTest {

    private static final List<String> OWN_LEFTOVERS =
            List.of(
                    "r1.ln0a0000.b7Zq_-9.1.page",
                    "r1.ln0b9j5c.sX4.1.page",
                    "r1.ln0b9j5c.sX4.2.page");
    private static final List<String> KEPT =
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

    private SpoolDirectory start(String router, String boot) throws IOException {
        return new SpoolDirectory(folder, router, boot);
    }

    @Test
    void lockFileOfAKilledRouterIsFree() throws Exception {
        assertTrue(Files.exists(folder.resolve("r1.lock")));
        start("r1", NEW_BOOT).close();
    }

    @Test
    void pagesOfEarlierStartsAreNotOfThisStart() throws Exception {
        try (SpoolDirectory files = start("r1", NEW_BOOT)) {
            assertEquals(OWN_LEFTOVERS, files.list().stream().sorted().toList());
            assertTrue(files.list().stream().noneMatch(files::isFromThisRun));
        }
    }

    @Test
    void deletesOnlyItsOwnLeftovers() throws Exception {
        assertEquals(5, Files.size(folder.resolve("r1.ln0b9j5c.sX4.1.page")), "the torn one");
        try (SpoolDirectory files = start("r1", NEW_BOOT)) {
            assertEquals(OWN_LEFTOVERS.size(), store(files).deleteFilesOfEarlierRuns());
            assertEquals(List.of(), files.list());
        }
        assertEquals(KEPT, StoredFiles.names(folder));
    }

    @Test
    void pageHasItsFormerFileNameAndBytes() throws Exception {
        String name = "r1.ln0a0000.b7Zq_-9.1.page";
        byte[] before = Files.readAllBytes(folder.resolve(name));
        Files.delete(folder.resolve(name));
        try (SpoolDirectory files = start("r1", "ln0a0000")) {
            store(files).store("r1~b7Zq_-9", "ann", 1, before, before.length, 0, () -> false);
        }
        assertArrayEquals(before, Files.readAllBytes(folder.resolve(name)));
        assertEquals("page 1 of r1~b7Zq_-9\n", Files.readString(folder.resolve(name)));
    }
}
