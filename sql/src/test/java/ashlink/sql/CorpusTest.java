package ashlink.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the analyses of the statements in {@link Corpus} with the expected analyses. */
class CorpusTest {

    private final StatementReader reader = new StatementReader();

    @Test
    void everyAnalysisEqualsTheExpectedAnalysis() throws Exception {
        List<String> mismatches = new ArrayList<>();
        List<Corpus.Case> cases = Corpus.cases();
        for (Corpus.Case corpusCase : cases) {
            StatementAnalysis analysis = reader.read(corpusCase.statement(), "");
            String actual = actual(analysis);
            String expected = expected(corpusCase);
            if (!actual.equals(expected)) {
                mismatches.add(
                        corpusCase.statement()
                                + "\n    expected "
                                + expected
                                + "\n    actual   "
                                + actual
                                + " "
                                + analysis.reason()
                                + " at "
                                + analysis.offset());
            }
            assertEquals(
                    analysis.kind() == StatementKind.UNKNOWN,
                    analysis.offset() >= 0,
                    corpusCase.statement());
        }
        assertTrue(cases.size() >= 400, cases.size() + " statements");
        assertEquals(
                List.of(),
                mismatches,
                mismatches.size() + " of " + cases.size() + "\n" + String.join("\n", mismatches));
    }

    private static String actual(StatementAnalysis analysis) {
        return analysis.kind()
                + " "
                + analysis.reads()
                + " "
                + analysis.writes()
                + " "
                + Corpus.flags(analysis);
    }

    private static String expected(Corpus.Case corpusCase) {
        return corpusCase.kind()
                + " "
                + corpusCase.reads()
                + " "
                + corpusCase.writes()
                + " "
                + corpusCase.flags();
    }

    @Test
    void normalizingTheNormalizedTextChangesNothing() throws Exception {
        for (Corpus.Case corpusCase : Corpus.cases()) {
            StatementAnalysis statementAnalysis = reader.read(corpusCase.statement(), "");
            if (statementAnalysis.kind() != StatementKind.UNKNOWN
                    && !statementAnalysis.normalizedSql().contains("{")) {
                StatementAnalysis again = reader.read(statementAnalysis.normalizedSql(), "");
                assertEquals(
                        statementAnalysis.normalizedSql(),
                        again.normalizedSql(),
                        corpusCase.statement());
                assertEquals(statementAnalysis.kind(), again.kind(), corpusCase.statement());
                assertEquals(statementAnalysis.reads(), again.reads(), corpusCase.statement());
            }
        }
    }
}
