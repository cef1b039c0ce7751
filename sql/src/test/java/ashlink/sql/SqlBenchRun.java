package ashlink.sql;

import java.util.List;
import java.util.concurrent.TimeUnit;
import net.sf.jsqlparser.parser.CCJSqlParserUtil;
import net.sf.jsqlparser.statement.Statement;
import net.sf.jsqlparser.util.TablesNamesFinder;
import org.junit.jupiter.api.Test;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Benchmark against JSqlParser, and a comparison of the tables that JSqlParser finds in the corpus.
 * Runs only by name: {@code -Dtest=SqlBenchRun}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class SqlBenchRun {

    private static final String SHORT =
            "SELECT meter, sum(value) AS total, max(ts) FROM readings WHERE meter IN (4711, 4712,"
                + " 4713) AND ts >= '2026-01-01 00:00:00' AND kind = 'heat' GROUP BY meter ORDER BY"
                + " total DESC LIMIT 100";

    /** Length of the statement in characters; the list is extended to reach the length. */
    @Param({"200", "2000", "20000", "200000", "1000000"})
    public int chars;

    private final StatementReader reader = new StatementReader();
    private String statement;

    private String statement() {
        if (statement == null) {
            int more = Math.max(0, (chars - SHORT.length()) / 6);
            statement = SHORT.replace("4711,", "4711," + "12345,".repeat(more));
        }
        return statement;
    }

    /** Measures StatementReader: kind, tables, flags and fingerprint. */
    @Benchmark
    public Object statementReader() {
        return reader.read(statement(), "");
    }

    /**
     * Measures JSqlParser: syntax tree and tables; only for statements of up to 2000 characters.
     */
    @Benchmark
    public Object jsqlparser() throws Exception {
        if (chars > 2000) {
            return null;
        }
        Statement parsed = CCJSqlParserUtil.parse(statement());
        return new TablesNamesFinder<Void>().getTables(parsed);
    }

    @Test
    void measure() throws Exception {
        int fails = 0;
        int agrees = 0;
        int differs = 0;
        List<Corpus.Case> cases = Corpus.cases();
        for (Corpus.Case corpusCase : cases) {
            try {
                Statement statement = CCJSqlParserUtil.parse(corpusCase.statement());
                java.util.Set<String> tables = new java.util.TreeSet<>();
                new TablesNamesFinder<Void>()
                        .getTables(statement)
                        .forEach(text -> tables.add(text.replaceAll("[`\"]", "")));
                java.util.Set<String> expected = new java.util.TreeSet<>(corpusCase.reads());
                expected.addAll(corpusCase.writes());
                if (corpusCase.kind() != StatementKind.UNKNOWN && expected.equals(tables)) {
                    agrees++;
                } else {
                    differs++;
                }
            } catch (Exception | StackOverflowError e) {
                fails++;
            }
        }
        System.out.printf(
                "JSqlParser on the corpus: statements=%d tablesEqual=%d tablesDiffer=%d"
                        + " failed=%d%n",
                cases.size(), agrees, differs, fails);
        new Runner(new OptionsBuilder().include(SqlBenchRun.class.getName()).forks(0).build())
                .run();
    }
}
