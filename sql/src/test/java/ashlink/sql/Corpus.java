package ashlink.sql;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

/** Test corpus: statements with expected analyses, from a file that was reviewed by hand. */
final class Corpus {

    /** Statement with the expected analysis; the flags have the format of {@link #flags}. */
    record Case(
            StatementKind kind,
            TreeSet<String> reads,
            TreeSet<String> writes,
            String flags,
            String statement) {}

    private Corpus() {}

    static List<Case> cases() throws IOException {
        List<Case> cases = new ArrayList<>();
        try (InputStream in = Corpus.class.getResourceAsStream("/ashlink/sql/corpus.tsv")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                if (!line.startsWith("#")) {
                    String[] fields = line.split("\t", -1);
                    cases.add(
                            new Case(
                                    StatementKind.valueOf(fields[0]),
                                    names(fields[1]),
                                    names(fields[2]),
                                    fields[3],
                                    unescape(fields[4])));
                }
            }
        }
        return cases;
    }

    private static TreeSet<String> names(String text) {
        return new TreeSet<>(text.isEmpty() ? List.of() : Arrays.asList(text.split(",")));
    }

    private static String unescape(String text) {
        StringBuilder unescaped = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char next = text.charAt(i);
            if (next == '\\') {
                next = unescape(text.charAt(++i));
            }
            unescaped.append(next);
        }
        return unescaped.toString();
    }

    private static char unescape(char escaped) {
        return switch (escaped) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case 'r' -> '\r';
            case '0' -> '\0';
            default -> escaped;
        };
    }

    /** Returns the flags of an analysis as letters, in the format of the corpus file. */
    static String flags(StatementAnalysis statementAnalysis) {
        return (statementAnalysis.safeToRepeat() ? "h" : "")
                + (statementAnalysis.nondeterministic() ? "u" : "")
                + (statementAnalysis.expectsData() ? "d" : "")
                + (statementAnalysis.tablesComplete()
                                || statementAnalysis.kind() == StatementKind.UNKNOWN
                        ? ""
                        : "o");
    }
}
