package ashlink.sql;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

/** Statements with their expected analyses: a file that was reviewed by hand. */
final class Corpus {

    /** A statement with its expected analysis; flags as {@link #flags} has them. */
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
                                    unescaped(fields[4])));
                }
            }
        }
        return cases;
    }

    private static TreeSet<String> names(String text) {
        return new TreeSet<>(text.isEmpty() ? List.of() : Arrays.asList(text.split(",")));
    }

    private static String unescaped(String text) {
        StringBuilder plain = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char next = text.charAt(i);
            if (next == '\\') {
                next = unescaped(text.charAt(++i));
            }
            plain.append(next);
        }
        return plain.toString();
    }

    private static char unescaped(char escaped) {
        return switch (escaped) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case 'r' -> '\r';
            case '0' -> '\0';
            default -> escaped;
        };
    }

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
