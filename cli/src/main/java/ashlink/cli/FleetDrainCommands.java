package ashlink.cli;

import ashlink.control.tool.FleetClient;
import ashlink.control.tool.FleetClient.Result;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Subcommands that drain engines and routers, and withdraw drains. */
final class FleetDrainCommands {

    private static final long NS_PER_SECOND = 1_000_000_000L;

    private FleetDrainCommands() {}

    /** Base of the subcommands that issue operator commands. */
    abstract static class IssueCommand implements Callable<Integer> {
        @Mixin FleetOptions options;

        @Parameters(paramLabel = "SUBJECT", description = "Engine name, or router:NAME.")
        private String subject;

        @Option(names = "--for", description = "Validity in hours; ${DEFAULT-VALUE} if not given.")
        private double validityHours = 24;

        @Option(names = "--why", description = "Reason, shown to other operators.")
        private String reason = "";

        @Option(
                names = "--wait",
                description =
                        "Fraction of the routers that must have received the command before this"
                                + " program exits; ${DEFAULT-VALUE} if not given.")
        private double requiredFraction = 1;

        @Option(
                names = "--wait-timeout",
                description = "Timeout of --wait, in seconds; ${DEFAULT-VALUE} if not given.")
        private double waitTimeoutSeconds = 10;

        String subject() {
            return subject.startsWith("router:") ? subject : OperatorCommand.engine(subject);
        }

        abstract List<String> owners(Map<String, Result> statuses, String operator)
                throws IOException;

        abstract Intent intent();

        @Override
        public Integer call() throws Exception {
            try (FleetClient client = options.connect(options.routers())) {
                Map<String, Result> statuses = client.status();
                List<OperatorCommand> commands = new ArrayList<>();
                for (String owner : owners(statuses, options.fleet().operator())) {
                    commands.add(client.nextCommand(subject(), owner, intent(), reason, statuses));
                }
                System.err.printf(
                        "%s %s: %d commands for %d routers, %d of them reachable%n",
                        intent().name().toLowerCase(),
                        subject(),
                        commands.size(),
                        statuses.size(),
                        statuses.values().stream().filter(Result::isReached).count());
                if (options.dryRun || commands.isEmpty()) {
                    return 0;
                }
                Map<String, Result> responses = new LinkedHashMap<>();
                for (OperatorCommand command : commands) {
                    responses.putAll(client.submit(command, (long) (validityHours * 3_600_000)));
                }
                return awaitCommands(client, commands, responses);
            }
        }

        private int awaitCommands(
                FleetClient client, List<OperatorCommand> commands, Map<String, Result> responses)
                throws Exception {
            Predicate<Result> hasCommands =
                    result ->
                            commands.stream()
                                    .allMatch(command -> FleetClient.hasCommand(result, command));
            Map<String, Result> finalStatuses =
                    client.awaitStatus(
                            requiredFraction,
                            (long) (waitTimeoutSeconds * NS_PER_SECOND),
                            hasCommands);
            int status =
                    options.printResults(
                            finalStatuses,
                            hasCommands,
                            (result, row) -> {
                                Result response = responses.get(result.router());
                                row.put("told", response.isReached())
                                        .put("knows", hasCommands.test(result));
                                if (response.isReached()) {
                                    row.put("toldAtMs", response.atMs());
                                }
                                if (result.isReached()
                                        && !result.answer().path("durable").asBoolean()) {
                                    row.put("durable", false);
                                }
                            });
            if (status != 0 && finalStatuses.values().stream().anyMatch(hasCommands)) {
                System.err.println(
                        "routers that have the command forward it to the others: each compares"
                                + " its commands with one other router per second");
            }
            return status;
        }
    }

    /** Drains an engine or a router. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description =
                    "Drains an engine, so that no router sends it new queries, or with router:NAME"
                            + " a router, so that it accepts none.")
    static final class Drain extends IssueCommand {
        @Override
        List<String> owners(Map<String, Result> statuses, String operator) {
            return List.of(operator);
        }

        @Override
        Intent intent() {
            return Intent.DRAIN;
        }
    }

    /** Withdraws the drain of an engine or a router. */
    @Command(
            name = "undrain",
            mixinStandardHelpOptions = true,
            description = "Withdraws a drain that the operator issued.")
    static final class Undrain extends IssueCommand {
        @Option(
                names = "--all-owners",
                description = "Also withdraw the drains of other operators.")
        private boolean allOwners;

        @Override
        List<String> owners(Map<String, Result> statuses, String operator) throws IOException {
            List<String> owners = FleetClient.activeOwners(subject(), statuses);
            if (!allOwners && owners.stream().anyMatch(owner -> !owner.equals(operator))) {
                System.err.println(
                        "still drained by "
                                + owners.stream().filter(owner -> !owner.equals(operator)).toList()
                                + "; use --all-owners to withdraw these drains too");
            }
            return allOwners ? owners : List.of(operator);
        }

        @Override
        Intent intent() {
            return Intent.NONE;
        }
    }
}
