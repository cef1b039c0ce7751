package ashlink.cli;

import ashlink.config.FleetConfig.Member;
import ashlink.control.tool.FleetClient;
import ashlink.control.tool.FleetClient.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Manages the routers of a fleet: parent of the fleet subcommands. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Manages the routers of a fleet.",
            "Exit status: 0 success on all routers, 3 on some routers, 4 on no router."
        },
        subcommands = {
            FleetCommand.Status.class,
            FleetDrainCommands.Drain.class,
            FleetDrainCommands.Undrain.class,
            FleetProcessCommands.Start.class,
            FleetProcessCommands.Stop.class,
            FleetProcessCommands.Restart.class,
            FleetCommand.Logs.class,
            FleetCommand.Top.class
        })
final class FleetCommand implements Callable<Integer> {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "missing subcommand: expected status, drain, undrain, start, stop, restart, logs or"
                        + " top");
    }

    /** Shows the state of all routers. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description =
                    "Shows the state of each router: requests, missing members, operator commands.")
    static final class Status implements Callable<Integer> {
        @Mixin private FleetOptions options;

        @Override
        public Integer call() throws Exception {
            try (FleetClient client = options.connect(options.routers())) {
                return options.printResults(
                        client.status(), Result::isReached, FleetRows::addState);
            }
        }
    }

    /** Shows the state of all routers repeatedly. */
    @Command(
            name = "top",
            mixinStandardHelpOptions = true,
            description = "Shows the state of all routers every second.")
    static final class Top implements Callable<Integer> {
        @Mixin private FleetOptions options;

        @Option(names = "--count", description = "Number of updates; unlimited if not given.")
        private int count = Integer.MAX_VALUE;

        @Override
        public Integer call() throws Exception {
            int status = 0;
            try (FleetClient client = options.connect(options.routers())) {
                for (int i = 0; i < count; i++) {
                    System.out.print(System.console() != null ? "\033[H\033[2J" : "");
                    status =
                            options.printResults(
                                    client.status(), Result::isReached, FleetRows::addState);
                    if (i + 1 < count) {
                        TimeUnit.SECONDS.sleep(1);
                    }
                }
            }
            return status;
        }
    }

    /** Shows the logs of routers on this machine. */
    @Command(
            name = "logs",
            mixinStandardHelpOptions = true,
            description = "Prints the last log lines of routers on this machine.")
    static final class Logs implements Callable<Integer> {
        @Mixin private FleetOptions options;

        @Option(
                names = "--lines",
                description = "Number of lines per router; ${DEFAULT-VALUE} if not given.")
        private int lines = 20;

        @Override
        public Integer call() throws Exception {
            for (Member member : options.routers()) {
                System.out.println("==> " + member.name() + " <==");
                if (Files.exists(member.log())) {
                    List<String> tail = readTail(member.log());
                    tail.subList(Math.max(0, tail.size() - lines), tail.size())
                            .forEach(System.out::println);
                }
            }
            return 0;
        }

        /** Returns the lines within the last 256 KiB of a log file. */
        private static List<String> readTail(Path log) throws IOException {
            try (java.io.RandomAccessFile file = new java.io.RandomAccessFile(log.toFile(), "r")) {
                long offset = Math.max(0, file.length() - (256 << 10));
                byte[] bytes = new byte[(int) (file.length() - offset)];
                file.seek(offset);
                file.readFully(bytes);
                return new String(bytes, java.nio.charset.StandardCharsets.UTF_8).lines().toList();
            }
        }
    }
}
