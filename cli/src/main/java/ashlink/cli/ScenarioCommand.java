package ashlink.cli;

import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfigReader;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.loadtest.baseline.Baseline;
import ashlink.loadtest.check.InvariantChecker;
import ashlink.loadtest.check.ServiceLevel;
import ashlink.loadtest.check.Verdict;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.FaultCatalog;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioRunner;
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

    private static final int MAX_PRINTED_VIOLATIONS = 10;
    private static final long NS_PER_MS = 1_000_000L;

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
    private Double httpFraction;

    @Option(
            names = "--trouble",
            description =
                    "Run a scenario with this single kind of fault, or with 'all' one scenario for"
                            + " each kind.")
    private String fault;

    @Option(names = "--capture", description = "Folder for the routers' captures.")
    private Path captureFolder;

    @Option(
            names = "--notes",
            description = "Folder for the records of clients and engines, as tab-separated text.")
    private Path recordsFolder;

    @Override
    public Integer call() throws Exception {
        if ("all".equals(fault)) {
            boolean allKept = true;
            for (String name : FaultCatalog.NAMES) {
                allKept &=
                        runScenario(
                                FaultCatalog.scenario(name, captureSetting(name)), "rules", null);
            }
            return allKept ? 0 : 1;
        }
        ScenarioConfig scenario = readScenario();
        boolean allKept = runScenario(scenario, "rules", null);
        for (Baseline.Policy policy : baselines) {
            runScenario(scenario, policy.name().toLowerCase(java.util.Locale.ROOT), policy);
        }
        return allKept ? 0 : 1;
    }

    private void writeRecords(ScenarioFacts facts, String name) throws java.io.IOException {
        Map<String, List<EngineQuery>> byTag =
                facts.engineQueries().stream().collect(Collectors.groupingBy(EngineQuery::tag));
        StringBuilder text =
                new StringBuilder(
                        "tag\tclass\trouter\tsent_ms\tended_ms\tkind\tcode\twork_ms\tattempts\n");
        for (ClientAttempt attempt : facts.clientAttempts()) {
            text.append(
                    String.format(
                            "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%.0f",
                            attempt.tag(),
                            attempt.queryClass(),
                            attempt.router(),
                            (attempt.sentNs() - facts.startNs()) / NS_PER_MS,
                            (attempt.reply().endNs() - facts.startNs()) / NS_PER_MS,
                            attempt.reply().kind(),
                            attempt.reply().code(),
                            attempt.workMs()));
            for (EngineQuery query : byTag.getOrDefault(attempt.tag(), List.of())) {
                text.append(
                        String.format(
                                "\t%s:%d-%d:%s",
                                query.engine(),
                                (query.receivedNs() - facts.startNs()) / NS_PER_MS,
                                (query.finishedNs() - facts.startNs()) / NS_PER_MS,
                                query.outcome()));
            }
            text.append('\n');
        }
        Files.createDirectories(recordsFolder);
        Files.writeString(
                recordsFolder.resolve(facts.scenario().name() + "-" + name + ".tsv"), text);
    }

    private String captureSetting(String name) {
        return captureFolder == null
                ? ""
                : " (capture (dir \"" + captureFolder.resolve(name) + "/{router}\"))";
    }

    private ScenarioConfig readScenario() throws Exception {
        if (fault != null) {
            return FaultCatalog.scenario(fault, captureSetting(fault));
        }
        String name = quick ? "bad-day-quick.sexp" : "bad-day.sexp";
        ScenarioConfig config =
                script != null
                        ? ScenarioConfigReader.read(script)
                        : ScenarioConfigReader.read(name, TestSettings.resource(name));
        return config.with(
                seed == null ? config.seed() : seed,
                httpFraction == null ? config.httpFraction() : httpFraction,
                captureSetting(config.name()));
    }

    private static List<String> formatFractions(Map<String, Double> fractions) {
        return fractions.entrySet().stream()
                .map(entry -> String.format("%s %.3f", entry.getKey(), entry.getValue()))
                .toList();
    }

    private static void printService(ScenarioConfig scenario, ScenarioFacts facts, String name) {
        ServiceLevel service = ServiceLevel.of(facts);
        System.out.printf(
                "%n%s, seed %d, policy %s: %d queries, %d served, %d rejected, %d failed, %d"
                        + " statements on engines%n",
                scenario.name(),
                scenario.seed(),
                name,
                service.requests(),
                service.served(),
                service.rejected(),
                service.failed(),
                facts.engineQueries().size());
        System.out.printf(
                "service level %.3f, worst 10 s %.3f, by class %s%s%n",
                service.total(),
                service.worstTenSeconds(),
                formatFractions(service.byClass()),
                service.byProtocol().size() > 1
                        ? ", by protocol " + formatFractions(service.byProtocol())
                        : "");
    }

    private boolean runScenario(ScenarioConfig scenario, String name, Baseline.Policy baseline)
            throws Exception {
        ScenarioFacts facts =
                new ScenarioRunner(
                                scenario,
                                settings ->
                                        baseline == null
                                                ? new DefaultWorkloadManager(settings)
                                                : new Baseline(baseline, settings))
                        .run();
        printService(scenario, facts, name);
        if (recordsFolder != null) {
            writeRecords(facts, name);
        }
        boolean allKept = true;
        boolean singleFault =
                FaultCatalog.NAMES.contains(
                        scenario.name()); // a single kind of fault tests only some of the rules
        for (Verdict verdict : new InvariantChecker(facts).verdicts()) {
            allKept &= verdict.isSatisfied() || singleFault && verdict.violations().isEmpty();
            System.out.printf(
                    "  %-30s %-6s cases %5d, violations %d%n",
                    verdict.rule(),
                    verdict.isSatisfied()
                            ? "kept"
                            : verdict.exercisedCases() == 0 ? "UNSEEN" : "BROKEN",
                    verdict.exercisedCases(),
                    verdict.violations().size());
            verdict.violations().stream()
                    .limit(MAX_PRINTED_VIOLATIONS)
                    .forEach(text -> System.out.println("      " + text));
        }
        return allKept;
    }
}
