package ashlink.cli;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfigReader;
import ashlink.router.classify.Classifier;
import ashlink.sql.StatementAnalysis;
import ashlink.sql.StatementReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the analysis of a statement and the query class that the router assigns to it. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description =
                "Prints the analysis of a statement, the rule that matches, and the resulting query"
                        + " class.")
final class ExplainCommand implements Callable<Integer> {

    @Parameters(paramLabel = "CONFIG", description = "Settings file of the router.")
    private Path file;

    @Option(
            names = "--sql",
            required = true,
            description = "SQL text of the statement; - reads the text from standard input.")
    private String sql;

    @Option(
            names = "--user",
            defaultValue = "default",
            description = "User that sends the statement.")
    private String user;

    @Option(
            names = "--database",
            defaultValue = "",
            description = "Default database of the connection.")
    private String database;

    @Option(names = "--setting", description = "Setting of the statement, as NAME=VALUE.")
    private Map<String, String> settings = new HashMap<>();

    @Override
    public Integer call() throws Exception {
        RouterConfig config = RouterConfigReader.read(file);
        String text =
                sql.equals("-")
                        ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                        : sql;
        StatementAnalysis analysis = new StatementReader().read(text, database);
        Classifier.Classification classification =
                new Classifier(config).classify(user, database, analysis, settings);
        printAnalysis(analysis);
        printClassification(classification);
        return 0;
    }

    private static void printAnalysis(StatementAnalysis analysis) {
        System.out.println(
                "kind         "
                        + analysis.kind().name().toLowerCase(java.util.Locale.ROOT)
                        + (analysis.reason().isEmpty()
                                ? ""
                                : ": "
                                        + analysis.reason()
                                        + (analysis.offset() < 0
                                                ? ""
                                                : " at character " + analysis.offset())));
        System.out.println(
                "reads        "
                        + analysis.reads()
                        + (analysis.tablesComplete() ? "" : " and others"));
        System.out.println("writes       " + analysis.writes());
        System.out.println(
                "harmless     "
                        + (analysis.safeToRepeat() ? "yes" : "no")
                        + (analysis.nondeterministic() ? ", result may differ between runs" : ""));
        System.out.println("data         " + (analysis.expectsData() ? "from the client" : "none"));
        System.out.println("settings     " + analysis.settings());
        System.out.println("fingerprint  " + analysis.fingerprint());
        System.out.println("normal text  " + analysis.normalizedSql());
    }

    private static void printClassification(Classifier.Classification classification) {
        System.out.println(
                "rule         "
                        + (classification.rule() == 0
                                ? "none, default class"
                                : "number " + classification.rule())
                        + (classification.downgraded() ? ", restricted: not a plain read" : ""));
        System.out.println(
                "class        "
                        + classification.queryClass().name()
                        + ", retry safety "
                        + classification.queryClass().retrySafety()
                        + ", engine kinds "
                        + classification.queryClass().engineKinds()
                        + ", zones "
                        + classification.queryClass().zones());
    }
}
