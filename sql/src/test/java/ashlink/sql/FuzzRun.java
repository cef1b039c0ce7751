package ashlink.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Fuzz test: analyzes a million mutated statements from a fixed seed. No analysis throws, and a
 * second analysis of the same statement is equal. Runs only by name: {@code -Dtest=FuzzRun}.
 */
class FuzzRun {

    private static final int TRIES = 1_000_000;

    @Test
    void mutatedStatementsAreAnalyzedConsistentlyWithoutExceptions() throws Exception {
        StatementReader reader = new StatementReader();
        List<Corpus.Case> cases = Corpus.cases();
        SplittableRandom random = new SplittableRandom(7);
        int[] kinds = new int[StatementKind.values().length];
        for (int i = 0; i < TRIES; i++) {
            StringBuilder builder =
                    new StringBuilder(cases.get(random.nextInt(cases.size())).statement());
            for (int mutations = random.nextInt(4);
                    mutations >= 0 && builder.length() > 0;
                    mutations--) {
                int at = random.nextInt(builder.length());
                switch (random.nextInt(4)) {
                    case 0 -> builder.deleteCharAt(at);
                    case 1 -> builder.insert(at, (char) random.nextInt(32, 127));
                    case 2 ->
                            builder.setCharAt(
                                    at, "()[]{}'\"`;,.*/-?:#$".charAt(random.nextInt(19)));
                    default -> {
                        String other = cases.get(random.nextInt(cases.size())).statement();
                        builder.insert(
                                at,
                                other.substring(
                                        other.isEmpty() ? 0 : random.nextInt(other.length())));
                    }
                }
            }
            StatementAnalysis statementAnalysis = reader.read(builder.toString(), "");
            kinds[statementAnalysis.kind().ordinal()]++;
            assertEquals(statementAnalysis, reader.read(builder.toString(), ""));
        }
        for (StatementKind kind : StatementKind.values()) {
            System.out.println(kind + " " + kinds[kind.ordinal()]);
        }
    }
}
