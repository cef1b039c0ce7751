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

/** Says what is read of a statement, and which class it gets. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description =
                "Says what is read of a statement, which rule matches, and what the decisions are"
                        + " told.")
final class ExplainCommand implements Callable<Integer> {

    @Parameters(paramLabel = "CONFIG", description = "Settings of the router.")
    private Path file;

    @Option(
            names = "--sql",
            required = true,
            description = "The statement; - reads it from standard input.")
    private String sql;

    @Option(names = "--user", defaultValue = "default", description = "User that sends it.")
    private String user;

    @Option(
            names = "--database",
            defaultValue = "",
            description = "Default database of the connection.")
    private String database;

    @Option(names = "--setting", description = "Settings that come with it, as NAME=VALUE.")
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
                        + (statementAnalysis.tablesComplete() ? "" : " and others"));
        System.out.println("writes       " + statementAnalysis.writes());
        System.out.println(
                "harmless     "
                        + (statementAnalysis.safeToRepeat() ? "yes" : "no")
                        + (statementAnalysis.nondeterministic() ? ", differs at each call" : ""));
        System.out.println(
                "data         " + (statementAnalysis.expectsData() ? "from the client" : "none"));
        System.out.println("settings     " + statementAnalysis.settings());
        System.out.println("fingerprint  " + statementAnalysis.fingerprint());
        System.out.println("normal text  " + statementAnalysis.normalizedSql());
        System.out.println(
                "rule         "
                        + (decision.rule() == 0 ? "none, the default" : "number " + decision.rule())
                        + (decision.downgraded() ? ", made stricter: it is no plain read" : ""));
        System.out.println(
                "class        "
                        + decision.queryClass().name()
                        + ", repeat "
                        + decision.queryClass().retrySafety()
                        + ", kinds "
                        + decision.queryClass().engineKinds()
                        + ", zones "
                        + decision.queryClass().zones());
        return 0;
    }
}
