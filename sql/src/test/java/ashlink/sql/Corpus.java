package ashlink.sql;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

/** Statements with what is to be read of them: a file that was reviewed by hand. */
final class Corpus {

    record Case(
            Kind kind,
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
                    String[] f = line.split("\t", -1);
                    cases.add(
                            new Case(
                                    Kind.valueOf(f[0]),
                                    names(f[1]),
                                    names(f[2]),
                                    f[3],
                                    unescaped(f[4])));
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
            char c = text.charAt(i);
            if (c == '\\') {
                c = text.charAt(++i);
                c = c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c == '0' ? '\0' : c;
            }
            plain.append(c);
        }
        return plain.toString();
    }

    static String flags(StatementAnalysis statementAnalysis) {
        return (statementAnalysis.harmless() ? "h" : "")
                + (statementAnalysis.unstable() ? "u" : "")
                + (statementAnalysis.takesData() ? "d" : "")
                + (statementAnalysis.allTables() || statementAnalysis.kind() == Kind.UNKNOWN
                        ? ""
                        : "o");
    }
}
