package ashlink.cli;

import ashlink.config.FleetConfig;
import ashlink.config.FleetConfig.Member;
import ashlink.control.member.ControlCodec;
import ashlink.control.tls.Identity;
import ashlink.control.tool.FleetClient;
import ashlink.control.tool.FleetClient.Result;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

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
            FleetCommand.Drain.class,
            FleetCommand.Undrain.class,
            FleetCommand.Start.class,
            FleetCommand.Stop.class,
            FleetCommand.Restart.class,
            FleetCommand.Logs.class,
            FleetCommand.Top.class
        })
final class FleetCommand implements Callable<Integer> {

    private static final int SOME_ROUTERS = 3;
    private static final int NO_ROUTER = 4;
    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final long STOP_TTL_MS = 60_000;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "missing subcommand: expected status, drain, undrain, start, stop, restart, logs or"
                        + " top");
    }

    /** Options that all subcommands have. */
    static final class FleetOptions {
        @Option(
                names = "--inventory",
                description = "File that lists the routers; ${DEFAULT-VALUE} if not given.")
        private Path inventory = Path.of("fleet.sexp");

        @Option(names = "--router", description = "Select this router; may be repeated.")
        private List<String> routerNames = List.of();

        @Option(
                names = "--at-once",
                description =
                        "Maximum number of parallel requests to routers; ${DEFAULT-VALUE} if not"
                                + " given.")
        private int maxParallel = 32;

        @Option(
                names = "--timeout",
                description =
                        "Response timeout for each router, in seconds; ${DEFAULT-VALUE} if not"
                                + " given.")
        private double timeoutSeconds = 2;

        @Option(names = "--json", description = "Print JSON instead of a table.")
        private boolean json;

        @Option(names = "--dry-run", description = "Print the actions without performing them.")
        private boolean dryRun;

        private FleetConfig fleet;

        FleetConfig fleet() throws Exception {
            if (fleet == null) {
                fleet = FleetConfig.read(inventory);
                for (String name : routerNames) {
                    if (!fleet.routers().containsKey(name)) {
                        throw new IOException(
                                "unknown router "
                                        + name
                                        + " in "
                                        + inventory
                                        + ": expected one of "
                                        + fleet.routers().keySet());
                    }
                }
            }
            return fleet;
        }

        List<Member> routers() throws Exception {
            return fleet().routers().values().stream()
                    .filter(member -> routerNames.isEmpty() || routerNames.contains(member.name()))
                    .toList();
        }

        FleetClient connect(List<Member> members) throws Exception {
            Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
            members.forEach(member -> addresses.put(member.name(), member.control()));
            return new FleetClient(
                    new Identity(fleet().keys(), fleet().operator()),
                    addresses,
                    maxParallel,
                    (int) (timeoutSeconds * 1e3));
        }

        /**
         * Prints a row for each router and returns the exit status: 0 if all results are good, 3 if
         * some are, 4 if none is.
         */
        int printResults(Map<String, Result> results, Predicate<Result> isGood, RowWriter rowWriter)
                throws Exception {
            ArrayNode rows = new ObjectMapper().createArrayNode();
            long goodCount = 0;
            for (Result result : results.values()) {
                boolean ok = isGood.test(result);
                goodCount += ok ? 1 : 0;
                ObjectNode row =
                        rows.addObject()
                                .put("router", result.router())
                                .put("hall", fleet().routers().get(result.router()).hall())
                                .put("ok", ok);
                if (!result.isReached()) {
                    row.put("error", result.error());
                }
                rowWriter.addFields(result, row);
            }
            if (json) {
                System.out.println(
                        new ObjectMapper()
                                .writerWithDefaultPrettyPrinter()
                                .writeValueAsString(rows));
            } else {
                for (JsonNode node : rows) {
                    StringBuilder line = new StringBuilder();
                    node.properties()
                            .forEach(
                                    entry ->
                                            line.append(
                                                    entry.getKey().equals("router")
                                                                    || entry.getKey().equals("hall")
                                                            ? String.format(
                                                                    "%-12s ",
                                                                    entry.getValue().asText())
                                                            : entry.getKey()
                                                                    + "="
                                                                    + entry.getValue().asText()
                                                                    + "  "));
                    System.out.println(line);
                }
            }
            return goodCount == results.size() ? 0 : goodCount > 0 ? SOME_ROUTERS : NO_ROUTER;
        }
    }

    /** Adds the fields of one router's row. */
    interface RowWriter {
        void addFields(Result result, ObjectNode row) throws IOException;
    }

    private static void addState(Result result, ObjectNode row) throws IOException {
        if (!result.isReached()) {
            return;
        }
        row.put("up", result.answer().path("upMs").asLong() / 1000 + "s")
                .put("open", result.answer().path("openRequests").asInt())
                .put("queued", result.answer().path("queued").asInt());
        int missing = 0;
        for (JsonNode node : result.answer().path("members")) {
            missing += node.path("state").asText().equals("ALIVE") ? 0 : 1;
        }
        row.put("missing", missing);
        List<String> commands = new ArrayList<>();
        for (CommandWithTtl entry : ControlCodec.commands(result.answer())) {
            if (entry.ttlMs() > 0 && entry.command().intent() != Intent.NONE) {
                commands.add(
                        entry.command().intent().name().toLowerCase()
                                + " "
                                + entry.command().subject()
                                + " by "
                                + entry.command().owner()
                                + " for "
                                + entry.ttlMs() / 1000
                                + "s");
            }
        }
        row.put("notices", String.join(", ", commands))
                .put("durable", result.answer().path("durable").asBoolean());
        long days =
                (result.answer().path("certificateEndsMs").asLong() - System.currentTimeMillis())
                        / 86_400_000L;
        if (days < 30) {
            row.put("certificate", "ends in " + days + " days");
        }
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
                        client.status(), Result::isReached, FleetCommand::addState);
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
                                    client.status(), Result::isReached, FleetCommand::addState);
                    if (i + 1 < count) {
                        TimeUnit.SECONDS.sleep(1);
                    }
                }
            }
            return status;
        }
    }

    /** Base of the subcommands that issue operator commands. */
    private abstract static class IssueCommand implements Callable<Integer> {
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
                Predicate<Result> hasCommands =
                        result ->
                                commands.stream()
                                        .allMatch(
                                                command -> FleetClient.hasCommand(result, command));
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

    // ---- Processes
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
                                FleetCommand::addState);
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
            return doneCount == options.routers().size()
                    ? 0
                    : doneCount > 0 ? SOME_ROUTERS : NO_ROUTER;
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
            members.sort(java.util.Comparator.comparing(Member::hall).thenComparing(Member::name));
            System.err.println(
                    "restart order: "
                            + members.stream()
                                    .map(member -> member.name() + " (" + member.hall() + ")")
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
                try (FleetClient client = options.connect(List.of(member))) {
                    if (!client.awaitStatus(
                                    1,
                                    (long) (waitTimeoutSeconds * NS_PER_SECOND),
                                    Result::isReached)
                            .get(member.name())
                            .isReached()) {
                        System.err.println(
                                member.name() + ": not ready before the timeout, restart aborted");
                        break;
                    }
                }
                doneCount++;
                System.out.println(member.name() + ": restarted");
            }
            return options.dryRun || doneCount == members.size()
                    ? 0
                    : doneCount > 0 ? SOME_ROUTERS : NO_ROUTER;
        }

        private boolean enoughRoutersUp() throws Exception {
            List<Member> allMembers = List.copyOf(options.fleet().routers().values());
            try (FleetClient client = options.connect(allMembers)) {
                return client.status().values().stream().filter(Result::isReached).count()
                        >= Math.floor(minUpFraction * allMembers.size());
            }
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
