package ashlink.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.RetrySafety;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the values and the problems that are read from the settings file of a router. */
class RouterConfigTest {

    private static final String VALID =
            """
            (router (name r1) (zones h1 h2) (zone h1) ; a comment
              (kind big (cores 8) (memory 16GiB))
              (engine q1 (address 127.0.0.1:9101) (zone h1) (kind big))
              (class look (worth 1) (aim 500ms) (deadline 2500ms) (repeat safe))
              (class load (worth 2.5) (aim 3s) (deadline 25s) (repeat never) (in-order yes) (only-kinds big))
              (rule (class load) (keyword insert))
              (default-class look) (default-write-class load)
              (tenant t (quota 90/m)) (user u (tenant t)))
            """;

    private static List<ConfigProblem> problems(String text) {
        return assertThrows(
                        ConfigException.class, () -> RouterConfigReader.read("router.sexp", text))
                .problems();
    }

    @Test
    void readsTheValuesOfAValidFile() throws ConfigException {
        RouterConfig config = RouterConfigReader.read("router.sexp", VALID);
        assertEquals(16384, config.engineKinds().get(0).memoryMb());
        assertEquals(2_500_000_000L, config.queryClasses().get("look").deadlineNs());
        assertEquals(RetrySafety.AT_MOST_ONCE, config.queryClasses().get("load").retrySafety());
        assertEquals(1.5, config.tenants().get(0).quotaPerS());
        assertEquals(
                List.of("load", "look"),
                config.settings().classes().stream()
                        .map(queryClass -> queryClass.name())
                        .sorted()
                        .toList());
    }

    @Test
    void reportsAllProblemsWithPositionValueAndAcceptedValues() {
        List<ConfigProblem> found =
                problems(
                        VALID.replace("aim 500ms", "aim 5parsecs")
                                .replace("16GiB", "lots")
                                .replace("(zone h1) (kind big)", "(zone h9) (kind huge)")
                                .replace("(worth 1)", "(wroth 1)")
                                .replace("9101", "910100"));
        assertEquals(6, found.size(), found.toString());
        ConfigProblem invalidDuration =
                found.stream()
                        .filter(configProblem -> configProblem.setting().endsWith("look.aim"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(4, invalidDuration.line());
        assertEquals("5parsecs", invalidDuration.value());
        assertTrue(invalidDuration.accepted().contains("ms"), invalidDuration.accepted());
        ConfigProblem unknownSetting =
                found.stream()
                        .filter(configProblem -> configProblem.value().equals("wroth"))
                        .findFirst()
                        .orElseThrow();
        assertTrue(
                unknownSetting.accepted().startsWith("worth (closest match)"),
                unknownSetting.accepted());
        assertTrue(
                invalidDuration.toString().startsWith("router.sexp:4:"),
                invalidDuration.toString());
    }

    @Test
    void reportsSyntaxErrorsWithLineAndAcceptedSyntax() {
        assertEquals(1, problems("(router (name r1)").get(0).line());
        assertTrue(problems(")").get(0).accepted().contains("parentheses"));
        assertTrue(problems("").get(0).accepted().contains("(router ...)"));
        assertTrue(problems("(".repeat(100_000)).get(0).accepted().contains("32 nested lists"));
        assertTrue(problems("(router \"open").size() > 0);
    }

    @Test
    void defaultWriteClassMustBeAtMostOnce() {
        List<ConfigProblem> found =
                problems(VALID.replace("(default-write-class load)", "(default-write-class look)"));
        assertEquals(1, found.size());
        assertTrue(found.get(0).accepted().contains("load"), found.toString());
    }

    @Test
    void hashesPasswordsWithASaltAndChecksTheFormatOfHashes() {
        String hash = Passwords.hash("x", 4);
        assertTrue(
                !hash.equals(Passwords.hash("x", 4))
                        && Passwords.matches("x", hash)
                        && !Passwords.matches("y", hash));
        assertTrue(
                !Passwords.matches("", null)
                        && Passwords.matches("", "")
                        && !Passwords.matches("x", ""));
        assertEquals(
                1, problems(VALID.replace("(user u", "(user u (password-hash \"plain\")")).size());
    }
}
