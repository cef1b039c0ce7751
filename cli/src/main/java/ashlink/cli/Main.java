package ashlink.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point of the {@code ashlink} command: its subcommands and their common options. */
@Command(
        name = "ashlink",
        mixinStandardHelpOptions = true,
        version = "ashlink 0.2.0",
        description = "Workload manager that admits queries and routes them to analytic engines.",
        exitCodeOnInvalidInput = 2,
        exitCodeOnExecutionException = 1,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            RouteCommand.class,
            EngineCommand.class,
            DemoCommand.class,
            ScenarioCommand.class,
            CheckCommand.class,
            ExplainCommand.class,
            ReplayCommand.class,
            WhyCommand.class,
            CaptureCommand.class,
            QueryCommand.class,
            FleetCommand.class,
            KeysCommand.class,
            SuperviseCommand.class,
            BenchCommand.class,
            HashPasswordCommand.class,
            SimulatorCommand.class
        })
public final class Main implements Runnable {

    /** Output formats of the log. */
    enum LogFormat {
        PLAIN,
        JSON
    }

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--log",
            description = "Format of the log on standard error: ${COMPLETION-CANDIDATES}.",
            defaultValue = "PLAIN",
            scope = CommandLine.ScopeType.INHERIT)
    private LogFormat logFormat;

    @Option(
            names = "--log-level",
            description =
                    "Log level: ERROR, WARN, INFO or DEBUG. Default: INFO for route, engine and"
                            + " supervise, otherwise WARN.",
            scope = CommandLine.ScopeType.INHERIT)
    private String logLevel;

    /** Runs a subcommand and exits with its status. */
    public static void main(String[] args) {
        Main main = new Main();
        CommandLine commandLine = new CommandLine(main);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionStrategy(
                parsed -> {
                    String subcommand =
                            parsed.subcommand() == null
                                    ? ""
                                    : parsed.subcommand().commandSpec().name();
                    boolean daemon =
                            subcommand.equals("route")
                                    || subcommand.equals("engine")
                                    || subcommand.equals("supervise");
                    LogSetup.configure(
                            main.logFormat,
                            main.logLevel != null ? main.logLevel : daemon ? "INFO" : "WARN");
                    return new CommandLine.RunLast().execute(parsed);
                });
        commandLine.setExecutionExceptionHandler(
                (failure, command, parsed) -> {
                    if (failure instanceof ashlink.config.ConfigException) {
                        command.getErr().println(failure.getMessage());
                        return 2;
                    }
                    command.getErr().println("ashlink: " + failure);
                    if ("DEBUG".equalsIgnoreCase(main.logLevel)) {
                        failure.printStackTrace(command.getErr());
                    }
                    return 1;
                });
        System.exit(commandLine.execute(args));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing subcommand");
    }
}
