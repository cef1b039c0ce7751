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
            StatementAnalysis r = reader.read(c.statement(), "");
            String got = r.kind() + " " + r.reads() + " " + r.writes() + " " + Corpus.flags(r);
            String wanted = c.kind() + " " + c.reads() + " " + c.writes() + " " + c.flags();
            if (!got.equals(wanted)) {
                wrong.add(
                        c.statement()
                                + "\n    wanted "
                                + wanted
                                + "\n    got    "
                                + got
                                + " "
                                + r.reason()
                                + " at "
                                + r.at());
            }
            assertEquals(r.kind() == Kind.UNKNOWN, r.at() >= 0, c.statement());
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
            StatementAnalysis r = reader.read(c.statement(), "");
            if (r.kind() != Kind.UNKNOWN && !r.normal().contains("{")) {
                StatementAnalysis again = reader.read(r.normal(), "");
                assertEquals(r.normal(), again.normal(), c.statement());
                assertEquals(r.kind(), again.kind(), c.statement());
                assertEquals(r.reads(), again.reads(), c.statement());
            }
        }
    }
}
