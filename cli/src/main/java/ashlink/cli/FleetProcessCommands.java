package ashlink.cli;

import ashlink.config.FleetConfig.Member;
import ashlink.control.tool.FleetClient;
import ashlink.control.tool.FleetClient.Result;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Subcommands that start, stop and restart the processes of routers. */
final class FleetProcessCommands {

    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final long STOP_TTL_MS = 60_000;

    private FleetProcessCommands() {}

    private static void startSupervisor(Member member) throws IOException {
        Files.createDirectories(member.log().getParent());
        new ProcessBuilder(
                        SuperviseCommand.commandLine(
                                "--log", "json", "supervise", member.config().toString()))
                .redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(member.log().toFile()))
                .redirectError(ProcessBuilder.Redirect.appendTo(member.log().toFile()))
                .start();
    }

    /** Starts routers on this machine. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description =
                    "Starts routers on this machine, each with a supervisor, and waits until they"
                            + " are ready.")
    static final class Start implements Callable<Integer> {
        @Mixin private FleetOptions options;

        @Option(
                names = "--wait-timeout",
                description = "Timeout in seconds; ${DEFAULT-VALUE} if not given.")
        private double waitTimeoutSeconds = 30;

        @Override
        public Integer call() throws Exception {
            try (FleetClient client = options.connect(options.routers())) {
                Map<String, Result> statuses = client.status();
                for (Member member : options.routers()) {
                    boolean running = statuses.get(member.name()).isReached();
                    System.err.println(
                            member.name()
                                    + (running
                                            ? ": already running"
                                            : ": starting with " + member.config()));
                    if (!running && !options.dryRun) {
                        startSupervisor(member);
                    }
                }
                return options.dryRun
                        ? 0
                        : options.printResults(
                                client.awaitStatus(
                                        1,
                                        (long) (waitTimeoutSeconds * NS_PER_SECOND),
                                        Result::isReached),
                                Result::isReached,
                                FleetRows::addState);
            }
        }
    }

    /** Stops one router; returns false if the router is still reachable after the timeout. */
    private static boolean stop(FleetOptions options, Member member, long timeoutNs)
            throws Exception {
        try (FleetClient client = options.connect(List.of(member))) {
            Map<String, Result> statuses = client.status();
            if (!statuses.get(member.name()).isReached()) {
                return true;
            }
            client.submit(
                    client.nextCommand(
                            OperatorCommand.router(member.name()),
                            options.fleet().operator(),
                            Intent.STOP,
                            "stop",
                            statuses),
                    STOP_TTL_MS);
            return !client.awaitStatus(1, timeoutNs, result -> !result.isReached())
                    .get(member.name())
                    .isReached();
        }
    }

    /** Stops routers of the fleet. */
    @Command(
            name = "stop",
            mixinStandardHelpOptions = true,
            description =
                    "Stops routers. Each finishes its open requests within its configured time"
                            + " limit.")
    static final class Stop implements Callable<Integer> {
        @Mixin private FleetOptions options;

        @Option(
                names = "--wait-timeout",
                description = "Timeout for each router, in seconds; ${DEFAULT-VALUE} if not given.")
        private double waitTimeoutSeconds = 30;

        @Override
        public Integer call() throws Exception {
            int doneCount = 0;
            for (Member member : options.routers()) {
                boolean stopped =
                        options.dryRun
                                || stop(
                                        options,
                                        member,
                                        (long) (waitTimeoutSeconds * NS_PER_SECOND));
                doneCount += stopped ? 1 : 0;
                System.out.println(
                        member.name()
                                + (options.dryRun
                                        ? ": would be stopped"
                                        : stopped
                                                ? ": stopped"
                                                : ": not stopped before the timeout"));
            }
            return FleetRows.exitStatus(doneCount, options.routers().size());
        }
    }

    /** Restarts routers one after the other. */
    @Command(
            name = "restart",
            mixinStandardHelpOptions = true,
            description =
                    "Restarts routers one after the other, zone by zone. Aborts if a router does"
                            + " not become ready, or if fewer routers are up than --up requires.")
    static final class Restart implements Callable<Integer> {
        @Mixin private FleetOptions options;

        @Option(
                names = "--up",
                description =
                        "Fraction of all routers that must be up before each restart;"
                                + " ${DEFAULT-VALUE} if not given.")
        private double minUpFraction = 0.9;

        @Option(
                names = "--wait-timeout",
                description =
                        "Timeout for each router to stop and to become ready, in seconds;"
                                + " ${DEFAULT-VALUE} if not given.")
        private double waitTimeoutSeconds = 30;

        @Override
        public Integer call() throws Exception {
            List<Member> members = new ArrayList<>(options.routers());
            members.sort(java.util.Comparator.comparing(Member::zone).thenComparing(Member::name));
            System.err.println(
                    "restart order: "
                            + members.stream()
                                    .map(member -> member.name() + " (" + member.zone() + ")")
                                    .toList());
            int doneCount = 0;
            for (Member member : options.dryRun ? List.<Member>of() : members) {
                if (!enoughRoutersUp()) {
                    System.err.println(
                            "aborted before "
                                    + member.name()
                                    + ": the fraction of routers that are up is below "
                                    + minUpFraction);
                    break;
                }
                boolean stopped =
                        stop(options, member, (long) (waitTimeoutSeconds * NS_PER_SECOND));
                if (!stopped) {
                    System.err.println(
                            member.name() + ": not stopped before the timeout, restart aborted");
                    break;
                }
                startSupervisor(member);
                if (!becomesReady(member)) {
                    System.err.println(
                            member.name() + ": not ready before the timeout, restart aborted");
                    break;
                }
                doneCount++;
                System.out.println(member.name() + ": restarted");
            }
            return options.dryRun ? 0 : FleetRows.exitStatus(doneCount, members.size());
        }

        private boolean becomesReady(Member member) throws Exception {
            try (FleetClient client = options.connect(List.of(member))) {
                return client.awaitStatus(
                                1, (long) (waitTimeoutSeconds * NS_PER_SECOND), Result::isReached)
                        .get(member.name())
                        .isReached();
            }
        }

        private boolean enoughRoutersUp() throws Exception {
            List<Member> allMembers = List.copyOf(options.fleet().routers().values());
            try (FleetClient client = options.connect(allMembers)) {
                return client.status().values().stream().filter(Result::isReached).count()
                        >= Math.floor(minUpFraction * allMembers.size());
            }
        }
    }
}
