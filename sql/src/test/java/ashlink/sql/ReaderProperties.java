package ashlink.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/**
 * Properties of the fingerprint under rewriting and mutation, and of the reader with random input.
 * Seeds are fixed, so each run is the same.
 */
class ReaderProperties {

    private final StatementReader reader = new StatementReader();

    /** Template of a statement with fixed names and operators; literals and white space vary. */
    record Shape(
            String column,
            String operator,
            String table,
            String function,
            boolean join,
            int listLength) {

        String text(List<String> literals, String whitespace, boolean upperCase) {
            String sql =
                    "select "
                            + function
                            + "("
                            + column
                            + ") from "
                            + table
                            + (join ? " join bills using meter" : "")
                            + " where "
                            + column
                            + " "
                            + operator
                            + " L and meter in (LIST) and name = L limit L";
            int next = 0;
            StringBuilder out = new StringBuilder();
            for (String word : sql.split(" ")) {
                String text = word;
                while (text.contains("LIST")) {
                    StringBuilder list = new StringBuilder();
                    for (int i = 0; i < listLength; i++) {
                        list.append(i > 0 ? "," : "")
                                .append(literals.get(next++ % literals.size()));
                    }
                    text = text.replace("LIST", list);
                }
                if (text.equals("L")) {
                    text = literals.get(next++ % literals.size());
                } else if (upperCase
                        && List.of("select", "from", "where", "join", "using", "and", "in", "limit")
                                .contains(text)) {
                    text = text.toUpperCase(java.util.Locale.ROOT);
                }
                out.append(out.length() == 0 ? "" : whitespace).append(text);
            }
            return out.toString();
        }
    }

    @Provide
    Arbitrary<Shape> shapes() {
        Arbitrary<String> names = Arbitraries.of("value", "ts", "meter_id", "x1", "größe", "`a.b`");
        return Combinators.combine(
                        names,
                        Arbitraries.of("=", "<", ">=", "!=", "LIKE"),
                        Arbitraries.of("readings", "db.t", "`select`", "inbox"),
                        Arbitraries.of("sum", "max", "uniqExact"),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 40))
                .as(Shape::new);
    }

    @Provide
    Arbitrary<List<String>> literals() {
        return Arbitraries.of(
                        "1",
                        "-7",
                        "0xFF",
                        "1.5e3",
                        "'text'",
                        "'it''s'",
                        "'-- no'",
                        "'/* no */'",
                        "NULL",
                        "true",
                        "$$x$$",
                        "1_000")
                .list()
                .ofMinSize(1)
                .ofMaxSize(9);
    }

    @Provide
    Arbitrary<String> whitespace() {
        return Arbitraries.of(" ", "\n", "\t \r\n", " /* c */ ", " -- c\n", "/**/");
    }

    @Property(tries = 500, seed = "42")
    void fingerprintIgnoresLiteralsWhitespaceCommentsCaseAndListLength(
            @ForAll("shapes") Shape shape,
            @ForAll("literals") List<String> literals,
            @ForAll("literals") List<String> otherLiterals,
            @ForAll("whitespace") String whitespace,
            @ForAll boolean upperCase,
            @ForAll @IntRange(min = 1, max = 60) int length) {
        StatementAnalysis first = reader.read(shape.text(literals, " ", false), "");
        Shape other =
                new Shape(
                        shape.column(),
                        shape.operator(),
                        shape.table(),
                        shape.function(),
                        shape.join(),
                        length);
        StatementAnalysis second =
                reader.read(other.text(otherLiterals, whitespace, upperCase), "");
        assertEquals(StatementKind.READ, first.kind(), first.reason());
        assertEquals(first.normalizedSql(), second.normalizedSql());
        assertEquals(first.fingerprint(), second.fingerprint());
    }

    @Property(tries = 500, seed = "43")
    void fingerprintDependsOnNamesOperatorsAndStructure(
            @ForAll("shapes") Shape first, @ForAll("shapes") Shape second) {
        Shape sameLists =
                new Shape(
                        second.column(),
                        second.operator(),
                        second.table(),
                        second.function(),
                        second.join(),
                        first.listLength());
        if (!first.equals(sameLists)) {
            assertNotEquals(
                    reader.read(first.text(List.of("1"), " ", false), "").fingerprint(),
                    reader.read(second.text(List.of("1"), " ", false), "").fingerprint());
        }
    }

    @Property(tries = 3000, seed = "44")
    void mutatedStatementsNeverThrowAndWritesAreNeverSafeToRepeat(
            @ForAll @IntRange(min = 0, max = 450) int caseIndex,
            @ForAll @IntRange(min = 0, max = 300) int position,
            @ForAll char inserted,
            @ForAll @IntRange(min = 0, max = 2) int mutation)
            throws Exception {
        List<Corpus.Case> cases = Corpus.cases();
        Corpus.Case corpusCase = cases.get(caseIndex % cases.size());
        String text = corpusCase.statement();
        int index = text.isEmpty() ? 0 : position % text.length();
        String mutated =
                mutation == 0
                        ? text.substring(0, index)
                        : mutation == 1
                                ? text.substring(0, index) + inserted + text.substring(index)
                                : text.substring(0, index)
                                        + text.substring(Math.min(text.length(), index + 1));
        StatementAnalysis statementAnalysis = reader.read(mutated, "");
        String words =
                mutated.replaceAll(
                                "(?s)'.*?'|`.*?`|\".*?\"|/\\*.*?\\*/|--[^\n"
                                        + "]*|#[^\n"
                                        + "]*|\\$\\$.*?\\$\\$",
                                " ")
                        .toUpperCase();
        if (statementAnalysis.safeToRepeat() && statementAnalysis.kind() == StatementKind.READ) {
            assertTrue(
                    !words.strip()
                            .matches(
                                    "(?s)(INSERT|DELETE|DROP|TRUNCATE|ALTER|UPDATE|CREATE|SYSTEM)\\b.*"),
                    mutated);
        }
    }

    @Property(tries = 1000, seed = "45")
    void randomInputNeverThrows(@ForAll String input) {
        assertTrue(reader.read(input, "").fingerprint().length() == 32);
    }
}
