package ashlink.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CorpusTest {

    private final StatementReader reader = new StatementReader();

    @Test
    void everyStatementIsReadRightOrMarkedUnknown() throws Exception {
        List<String> wrong = new ArrayList<>();
        List<Corpus.Case> cases = Corpus.cases();
        for (Corpus.Case c : cases) {
            StatementAnalysis statementAnalysis = reader.read(c.statement(), "");
            String got =
                    statementAnalysis.kind()
                            + " "
                            + statementAnalysis.reads()
                            + " "
                            + statementAnalysis.writes()
                            + " "
                            + Corpus.flags(statementAnalysis);
            String wanted = c.kind() + " " + c.reads() + " " + c.writes() + " " + c.flags();
            if (!got.equals(wanted)) {
                wrong.add(
                        c.statement()
                                + "\n    wanted "
                                + wanted
                                + "\n    got    "
                                + got
                                + " "
                                + statementAnalysis.reason()
                                + " at "
                                + statementAnalysis.at());
            }
            assertEquals(
                    statementAnalysis.kind() == Kind.UNKNOWN,
                    statementAnalysis.at() >= 0,
                    c.statement());
        }
        assertTrue(cases.size() >= 400, cases.size() + " statements");
        assertEquals(
                List.of(),
                wrong,
                wrong.size() + " of " + cases.size() + "\n" + String.join("\n", wrong));
    }

    @Test
    void theNormalTextOfAStatementReadsAsItself() throws Exception {
        for (Corpus.Case c : Corpus.cases()) {
            StatementAnalysis statementAnalysis = reader.read(c.statement(), "");
            if (statementAnalysis.kind() != Kind.UNKNOWN
                    && !statementAnalysis.normal().contains("{")) {
                StatementAnalysis again = reader.read(statementAnalysis.normal(), "");
                assertEquals(statementAnalysis.normal(), again.normal(), c.statement());
                assertEquals(statementAnalysis.kind(), again.kind(), c.statement());
                assertEquals(statementAnalysis.reads(), again.reads(), c.statement());
            }
        }
    }
}
