package ashlink.cli;

import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfigReader;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.loadtest.baseline.Baseline;
import ashlink.loadtest.check.InvariantChecker;
import ashlink.loadtest.check.Service;
import ashlink.loadtest.check.Verdict;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.FaultCatalog;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioRunner;
import ashlink.loadtest.scenario.SentQuery;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a scripted scenario and checks the rules against the traffic on the sockets. */
@Command(
        name = "scenario",
        aliases = "badday",
        mixinStandardHelpOptions = true,
        description =
                "Runs a scripted fault scenario on the loopback interface and prints the verdict on"
                        + " each rule and the service level.")
final class ScenarioCommand implements Callable<Integer> {

    private static final int SHOWN = 10;
    private static final long MS = 1_000_000L;

    @Parameters(
            paramLabel = "SCRIPT",
            arity = "0..1",
            description = "Scenario file; the built-in scenario if not given.")
    private Path script;

    @Option(names = "--quick", description = "Run the built-in scenario of 15 s.")
    private boolean quick;

    @Option(
            names = "--baseline",
            description = "Also run the scenario with a baseline policy: ${COMPLETION-CANDIDATES}.",
            arity = "1")
    private List<Baseline.Policy> baselines = List.of();

    @Option(names = "--seed", description = "Seed of the load; overrides the seed of the scenario.")
    private Long seed;

    @Option(
            names = "--http",
            description = "Fraction of queries over HTTP; overrides the value of the scenario.")
    private Double http;

    @Option(
            names = "--trouble",
            description =
                    "Run a scenario with this single kind of fault, or with 'all' one scenario for"
                            + " each kind.")
    private String trouble;

    @Option(names = "--capture", description = "Folder for the routers' captures.")
    private Path capture;

    @Option(
            names = "--notes",
            description = "Folder for the records of clients and engines, as tab-separated text.")
    private Path notes;

    @Override
    public Integer call() throws Exception {
        if ("all".equals(trouble)) {
            boolean kept = true;
            for (String name : FaultCatalog.NAMES) {
                kept &= play(FaultCatalog.day(name, captureSetting(name)), "rules", null);
            }
            return kept ? 0 : 1;
        }
        ScenarioConfig day = day();
        boolean kept = play(day, "rules", null);
        for (Baseline.Policy policy : baselines) {
            play(day, policy.name().toLowerCase(java.util.Locale.ROOT), policy);
        }
        return kept ? 0 : 1;
    }

    private void write(ScenarioFacts facts, String name) throws java.io.IOException {
        Map<String, List<SentQuery>> byTag =
                facts.ledger().stream().collect(Collectors.groupingBy(SentQuery::tag));
        StringBuilder text =
                new StringBuilder(
                        "tag\tclass\trouter\tsent_ms\tended_ms\tkind\tcode\twork_ms\tattempts\n");
        for (ClientAttempt clientAttempt : facts.tries()) {
            text.append(
                    String.format(
                            "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%.0f",
                            clientAttempt.tag(),
                            clientAttempt.queryClass(),
                            clientAttempt.router(),
                            (clientAttempt.sentNs() - facts.fromNs()) / MS,
                            (clientAttempt.reply().endNs() - facts.fromNs()) / MS,
                            clientAttempt.reply().kind(),
                            clientAttempt.reply().code(),
                            clientAttempt.workMs()));
            for (SentQuery sentQuery : byTag.getOrDefault(clientAttempt.tag(), List.of())) {
                text.append(
                        String.format(
                                "\t%s:%d-%d:%s",
                                sentQuery.engine(),
                                (sentQuery.beganNs() - facts.fromNs()) / MS,
                                (sentQuery.outUntilNs() - facts.fromNs()) / MS,
                                sentQuery.how()));
            }
            text.append('\n');
        }
        Files.createDirectories(notes);
        Files.writeString(notes.resolve(facts.day().name() + "-" + name + ".tsv"), text);
    }

    private String captureSetting(String name) {
        return capture == null ? "" : " (capture (dir \"" + capture.resolve(name) + "/{router}\"))";
    }

    private ScenarioConfig day() throws Exception {
        if (trouble != null) {
            return FaultCatalog.day(trouble, captureSetting(trouble));
        }
        String name = quick ? "bad-day-quick.sexp" : "bad-day.sexp";
        ScenarioConfig scenarioConfig =
                script != null
                        ? ScenarioConfigReader.read(script)
                        : ScenarioConfigReader.read(name, TestSettings.resource(name));
        return scenarioConfig.with(
                seed == null ? scenarioConfig.seed() : seed,
                http == null ? scenarioConfig.httpFraction() : http,
                captureSetting(scenarioConfig.name()));
    }

    private static List<String> shares(Map<String, Double> of) {
        return of.entrySet().stream()
                .map(entry -> String.format("%s %.3f", entry.getKey(), entry.getValue()))
                .toList();
    }

    private boolean play(ScenarioConfig day, String name, Baseline.Policy baseline)
            throws Exception {
        ScenarioFacts facts =
                new ScenarioRunner(
                                day,
                                settings ->
                                        baseline == null
                                                ? new DefaultWorkloadManager(settings)
                                                : new Baseline(baseline, settings))
                        .run();
        Service service = Service.of(facts);
        System.out.printf(
                "%n%s, seed %d, policy %s: %d queries, %d served, %d rejected, %d failed, %d"
                        + " statements on engines%n",
                day.name(),
                day.seed(),
                name,
                service.asked(),
                service.served(),
                service.refused(),
                service.failed(),
                facts.ledger().size());
        System.out.printf(
                "service level %.3f, worst 10 s %.3f, by class %s%s%n",
                service.whole(),
                service.worstTenSeconds(),
                shares(service.byClass()),
                service.byFront().size() > 1 ? ", by protocol " + shares(service.byFront()) : "");
        if (notes != null) {
            write(facts, name);
        }
        boolean kept = true;
        boolean single =
                FaultCatalog.NAMES.contains(
                        day.name()); // a single kind of fault tests only some of the rules
        for (Verdict verdict : new InvariantChecker(facts).verdicts()) {
            kept &= verdict.isKept() || single && verdict.broken().isEmpty();
            System.out.printf(
                    "  %-30s %-6s cases %5d, violations %d%n",
                    verdict.rule(),
                    verdict.isKept() ? "kept" : verdict.atStake() == 0 ? "UNSEEN" : "BROKEN",
                    verdict.atStake(),
                    verdict.broken().size());
            verdict.broken().stream()
                    .limit(SHOWN)
                    .forEach(text -> System.out.println("      " + text));
        }
        return kept;
    }
}
