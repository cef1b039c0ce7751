package ashlink.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Verifies that expensive statements are analyzed correctly with bounded memory and a small stack.
 */
class LimitsTest {

    private final StatementReader reader = new StatementReader();

    /** Analyzes a text on a thread with the stack size of a client thread in the router. */
    private StatementAnalysis read(String text) throws InterruptedException {
        return read(text, 512 << 10);
    }

    private StatementAnalysis read(String text, long stackBytes) throws InterruptedException {
        StatementAnalysis[] read = new StatementAnalysis[1];
        Throwable[] thrown = new Throwable[1];
        Thread thread =
                new Thread(null, () -> read[0] = reader.read(text, ""), "small-stack", stackBytes);
        thread.setUncaughtExceptionHandler((ignored, failure) -> thrown[0] = failure);
        thread.start();
        thread.join();
        assertEquals(null, thrown[0]);
        return read[0];
    }

    @Test
    void deepNestingIsUnknownWithoutStackOverflow() throws Exception {
        for (String[] brackets :
                new String[][] {
                    {"(", ")"},
                    {"[", "]"},
                    {"f(", ")"},
                    {"(SELECT ", ")"},
                    {"CASE WHEN ", " THEN 1 END"},
                    {"NOT ", ""},
                    {"- ", ""},
                    {"CAST(", " AS Int8)"}
                }) {
            StatementAnalysis statementAnalysis =
                    read(
                            "SELECT "
                                    + brackets[0].repeat(100_000)
                                    + "1"
                                    + brackets[1].repeat(100_000));
            assertTrue(
                    statementAnalysis.kind() == StatementKind.UNKNOWN,
                    brackets[0] + " " + statementAnalysis.kind());
        }
        assertEquals(
                StatementKind.READ, read("SELECT " + "(".repeat(60) + "1" + ")".repeat(60)).kind());
        assertEquals(
                StatementKind.UNKNOWN,
                read("SELECT CAST(1 AS " + "Array(".repeat(10_000) + "Int8" + ")".repeat(10_000))
                        .kind());
    }

    @Test
    void smallThreadStackGivesAResultWithoutAnException() throws Exception {
        read("SELECT 1", 512 << 10); // loads the classes on a sufficient stack
        String deep = "SELECT " + "f(".repeat(76) + "1" + ")".repeat(76);
        assertEquals(StatementKind.READ, read(deep, 512 << 10).kind());
        StatementAnalysis statementAnalysis = read(deep, 1 << 10);
        // The frame size depends on JIT compilation, so both results are valid, but nothing is
        // thrown.
        assertTrue(
                statementAnalysis.kind() == StatementKind.READ
                        || statementAnalysis.reason().contains("for this thread"),
                statementAnalysis.kind() + " " + statementAnalysis.reason());
    }

    @Test
    void listsAreReadUpToTheTokenLimitAndUnknownBeyond() throws Exception {
        assertEquals(
                StatementKind.READ, read("SELECT 1 IN (" + "1,".repeat(400_000) + "1)").kind());
        StatementAnalysis statementAnalysis = read("SELECT 1 IN (" + "1,".repeat(1_000_000) + "1)");
        assertEquals(StatementKind.UNKNOWN, statementAnalysis.kind());
        assertTrue(statementAnalysis.reason().contains("tokens"), statementAnalysis.reason());
        assertEquals(StatementKind.READ, read("SELECT '" + "x".repeat(16 << 20) + "'").kind());
    }

    @Test
    void insertedDataIsNotScanned() throws Exception {
        String data = "(1, 'a'),".repeat(7 << 20) + " this ' is /* no SQL";
        StatementAnalysis statementAnalysis = read("INSERT INTO t VALUES " + data);
        assertEquals(StatementKind.LOAD, statementAnalysis.kind());
        assertEquals("INSERT INTO t VALUES", statementAnalysis.normalizedSql());
    }

    @Test
    void normalizedTextAndFingerprintAreStable() {
        assertEquals(
                "SELECT sum ( value ) FROM readings WHERE meter IN ( ? ) AND ts > now ( ) -"
                        + " INTERVAL ? DAY",
                reader.read(
                                "select sum(value) from readings where meter in (1, 2, 3) and ts >"
                                        + " now() - interval 7 day",
                                "")
                        .normalizedSql());
        assertEquals(
                EXPECTED_FINGERPRINT,
                reader.read("SELECT sum(value) FROM readings WHERE meter IN (4)", "")
                        .fingerprint());
    }

    /** Fingerprint that must not change within major version 0. */
    private static final String EXPECTED_FINGERPRINT = "daaef0b9ba0caf83d54dae9beb3b0aef";

    @Test
    void databaseOfTheConnectionQualifiesTableNames() {
        assertEquals(
                "[meter.readings, other.t]",
                reader.read("SELECT * FROM readings, other.t", "meter").reads().toString());
    }

    @Test
    void reasonContainsNoLiteralsOfTheStatement() {
        StatementAnalysis statementAnalysis = reader.read("SELECT 'Anna Huber' 'Gmunden' FROM", "");
        assertEquals(StatementKind.UNKNOWN, statementAnalysis.kind());
        assertTrue(
                !statementAnalysis.reason().contains("Anna")
                        && !statementAnalysis.reason().contains("Gmunden"),
                statementAnalysis.reason());
    }
}
