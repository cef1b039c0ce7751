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
        StatementAnalysis r = new StatementReader().read(text, database);
        Classifier.Decision d = new Classifier(config).decide(user, database, r, settings);
        System.out.println(
                "kind         "
                        + r.kind().name().toLowerCase(java.util.Locale.ROOT)
                        + (r.reason().isEmpty()
                                ? ""
                                : ": "
                                        + r.reason()
                                        + (r.at() < 0 ? "" : " at character " + r.at())));
        System.out.println("reads        " + r.reads() + (r.allTables() ? "" : " and others"));
        System.out.println("writes       " + r.writes());
        System.out.println(
                "harmless     "
                        + (r.harmless() ? "yes" : "no")
                        + (r.unstable() ? ", differs at each call" : ""));
        System.out.println("data         " + (r.takesData() ? "from the client" : "none"));
        System.out.println("settings     " + r.settings());
        System.out.println("fingerprint  " + r.fingerprint());
        System.out.println("normal text  " + r.normal());
        System.out.println(
                "rule         "
                        + (d.rule() == 0 ? "none, the default" : "number " + d.rule())
                        + (d.stricter() ? ", made stricter: it is no plain read" : ""));
        System.out.println(
                "class        "
                        + d.queryClass().name()
                        + ", repeat "
                        + d.queryClass().retrySafety()
                        + ", kinds "
                        + d.queryClass().engineKinds()
                        + ", zones "
                        + d.queryClass().zones());
        return 0;
    }
}
