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
        StatementAnalysis statementAnalysis = new StatementReader().read(text, database);
        Classifier.Classification decision =
                new Classifier(config).classify(user, database, statementAnalysis, settings);
        System.out.println(
                "kind         "
                        + statementAnalysis.kind().name().toLowerCase(java.util.Locale.ROOT)
                        + (statementAnalysis.reason().isEmpty()
                                ? ""
                                : ": "
                                        + statementAnalysis.reason()
                                        + (statementAnalysis.offset() < 0
                                                ? ""
                                                : " at character " + statementAnalysis.offset())));
        System.out.println(
                "reads        "
                        + statementAnalysis.reads()
                        + (statementAnalysis.allTables() ? "" : " and others"));
        System.out.println("writes       " + statementAnalysis.writes());
        System.out.println(
                "harmless     "
                        + (statementAnalysis.harmless() ? "yes" : "no")
                        + (statementAnalysis.unstable() ? ", result may differ between runs" : ""));
        System.out.println(
                "data         " + (statementAnalysis.takesData() ? "from the client" : "none"));
        System.out.println("settings     " + statementAnalysis.settings());
        System.out.println("fingerprint  " + statementAnalysis.fingerprint());
        System.out.println("normal text  " + statementAnalysis.normalizedSql());
        System.out.println(
                "rule         "
                        + (decision.rule() == 0
                                ? "none, default class"
                                : "number " + decision.rule())
                        + (decision.downgraded() ? ", restricted: not a plain read" : ""));
        System.out.println(
                "class        "
                        + decision.queryClass().name()
                        + ", retry safety "
                        + decision.queryClass().retrySafety()
                        + ", engine kinds "
                        + decision.queryClass().engineKinds()
                        + ", zones "
                        + decision.queryClass().zones());
        return 0;
    }
}
