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
 * The fingerprint under rewriting and mutation, and the reader under noise. Seeds are fixed, so
 * each run is the same.
 */
class ReaderProperties {

    private final StatementReader reader = new StatementReader();

    /** A statement in pieces: names and operators are its own, literals and blanks are free. */
    record Shape(
            String column,
            String operator,
            String table,
            String function,
            boolean join,
            int lists) {

        String text(List<String> literals, String blank, boolean upper) {
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
                    for (int i = 0; i < lists; i++) {
                        list.append(i > 0 ? "," : "")
                                .append(literals.get(next++ % literals.size()));
                    }
                    text = text.replace("LIST", list);
                }
                if (text.equals("L")) {
                    text = literals.get(next++ % literals.size());
                } else if (upper
                        && List.of("select", "from", "where", "join", "using", "and", "in", "limit")
                                .contains(text)) {
                    text = text.toUpperCase(java.util.Locale.ROOT);
                }
                out.append(out.length() == 0 ? "" : blank).append(text);
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
    Arbitrary<String> blanks() {
        return Arbitraries.of(" ", "\n", "\t \r\n", " /* c */ ", " -- c\n", "/**/");
    }

    @Property(tries = 500, seed = "42")
    void literalsBlanksCommentsCaseAndListLengthsDoNotMatter(
            @ForAll("shapes") Shape shape,
            @ForAll("literals") List<String> literals,
            @ForAll("literals") List<String> otherLiterals,
            @ForAll("blanks") String blank,
            @ForAll boolean upper,
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
        StatementAnalysis second = reader.read(other.text(otherLiterals, blank, upper), "");
        assertEquals(StatementKind.READ, first.kind(), first.reason());
        assertEquals(first.normalizedSql(), second.normalizedSql());
        assertEquals(first.fingerprint(), second.fingerprint());
    }

    @Property(tries = 500, seed = "43")
    void anotherNameOperatorOrShapeDoes(
            @ForAll("shapes") Shape first, @ForAll("shapes") Shape second) {
        Shape sameLists =
                new Shape(
                        second.column(),
                        second.operator(),
                        second.table(),
                        second.function(),
                        second.join(),
                        first.lists());
        if (!first.equals(sameLists)) {
            assertNotEquals(
                    reader.read(first.text(List.of("1"), " ", false), "").fingerprint(),
                    reader.read(second.text(List.of("1"), " ", false), "").fingerprint());
        }
    }

    @Property(tries = 3000, seed = "44")
    void mutatedStatementsNeverThrowNorPassAWriteForHarmless(
            @ForAll @IntRange(min = 0, max = 450) int which,
            @ForAll @IntRange(min = 0, max = 300) int at,
            @ForAll char by,
            @ForAll @IntRange(min = 0, max = 2) int how)
            throws Exception {
        List<Corpus.Case> cases = Corpus.cases();
        Corpus.Case corpusCase = cases.get(which % cases.size());
        String text = corpusCase.statement();
        int index = text.isEmpty() ? 0 : at % text.length();
        String mutated =
                how == 0
                        ? text.substring(0, index)
                        : how == 1
                                ? text.substring(0, index) + by + text.substring(index)
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
    void noiseIsReadInBoundedTimeAndThrowsNothing(@ForAll String noise) {
        assertTrue(reader.read(noise, "").fingerprint().length() == 32);
    }
}
