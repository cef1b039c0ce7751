package ashlink.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A million mutated statements from a seed: none throws, and each is read alike twice. By name:
 * {@code -Dtest=FuzzRun}.
 */
class FuzzRun {

    private static final int TRIES = 1_000_000;

    @Test
    void aMillion() throws Exception {
        StatementReader reader = new StatementReader();
        List<Corpus.Case> cases = Corpus.cases();
        SplittableRandom random = new SplittableRandom(7);
        int[] kinds = new int[Kind.values().length];
        for (int i = 0; i < TRIES; i++) {
            StringBuilder s =
                    new StringBuilder(cases.get(random.nextInt(cases.size())).statement());
            for (int m = random.nextInt(4); m >= 0 && s.length() > 0; m--) {
                int at = random.nextInt(s.length());
                switch (random.nextInt(4)) {
                    case 0 -> s.deleteCharAt(at);
                    case 1 -> s.insert(at, (char) random.nextInt(32, 127));
                    case 2 -> s.setCharAt(at, "()[]{}'\"`;,.*/-?:#$".charAt(random.nextInt(19)));
                    default -> {
                        String other = cases.get(random.nextInt(cases.size())).statement();
                        s.insert(
                                at,
                                other.substring(
                                        other.isEmpty() ? 0 : random.nextInt(other.length())));
                    }
                }
            }
            StatementAnalysis r = reader.read(s.toString(), "");
            kinds[r.kind().ordinal()]++;
            assertEquals(r, reader.read(s.toString(), ""));
        }
        for (Kind k : Kind.values()) {
            System.out.println(k + " " + kinds[k.ordinal()]);
        }
    }
}
