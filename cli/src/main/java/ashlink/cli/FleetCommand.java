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

/** Handles the routers of a fleet together. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Handles the routers of a fleet together.",
            "Status: 0 all did, 3 some did, 4 none did."
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

    private static final int SOME = 3;
    private static final int NONE = 4;
    private static final long S = 1_000_000_000L;
    private static final long STOP_MS = 60_000;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "status, drain, undrain, start, stop, restart, logs or top is missing");
    }

    /** What all sub-commands take. */
    static final class Common {
        @Option(
                names = "--inventory",
                description = "The fleet's routers, ${DEFAULT-VALUE} if not given.")
        private Path inventory = Path.of("fleet.sexp");

        @Option(names = "--router", description = "Only these routers; may be repeated.")
        private List<String> only = List.of();

        @Option(
                names = "--at-once",
                description = "Routers that are asked in parallel, ${DEFAULT-VALUE} if not given.")
        private int atOnce = 32;

        @Option(
                names = "--timeout",
                description = "Seconds for each router's answer, ${DEFAULT-VALUE} if not given.")
        private double timeout = 2;

        @Option(names = "--json", description = "JSON in place of a table.")
        private boolean json;

        @Option(names = "--dry-run", description = "Show what would be done, and do nothing.")
        private boolean dryRun;

        private FleetConfig fleet;

        FleetConfig fleet() throws Exception {
            if (fleet == null) {
                fleet = FleetConfig.read(inventory);
                for (String text : only) {
                    if (!fleet.routers().containsKey(text)) {
                        throw new IOException(
                                "router "
                                        + text
                                        + " is not in "
                                        + inventory
                                        + "; there are "
                                        + fleet.routers().keySet());
                    }
                }
            }
            return fleet;
        }

        List<Member> routers() throws Exception {
            return fleet().routers().values().stream()
                    .filter(member -> only.isEmpty() || only.contains(member.name()))
                    .toList();
        }

        FleetClient tool(List<Member> of) throws Exception {
            Map<String, InetSocketAddress> at = new LinkedHashMap<>();
            of.forEach(member -> at.put(member.name(), member.control()));
            return new FleetClient(
                    new Identity(fleet().keys(), fleet().operator()),
                    at,
                    atOnce,
                    (int) (timeout * 1e3));
        }

        /** Prints a row a router, and gives the status of the command. */
        int show(Map<String, Result> results, Predicate<Result> good, Row row) throws Exception {
            ArrayNode all = new ObjectMapper().createArrayNode();
            long did = 0;
            for (Result result : results.values()) {
                boolean ok = good.test(result);
                did += ok ? 1 : 0;
                ObjectNode objectNode =
                        all.addObject()
                                .put("router", result.router())
                                .put("hall", fleet().routers().get(result.router()).zone())
                                .put("ok", ok);
                if (!result.isReached()) {
                    objectNode.put("error", result.error());
                }
                row.add(result, objectNode);
            }
            if (json) {
                System.out.println(
                        new ObjectMapper()
                                .writerWithDefaultPrettyPrinter()
                                .writeValueAsString(all));
            } else {
                for (JsonNode node : all) {
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
            return did == results.size() ? 0 : did > 0 ? SOME : NONE;
        }
    }

    /** Adds what there is to tell of one router. */
    interface Row {
        void add(Result result, ObjectNode to) throws IOException;
    }

    private static void rowOfState(Result result, ObjectNode objectNode) throws IOException {
        if (!result.isReached()) {
            return;
        }
        objectNode
                .put("up", result.answer().path("upMs").asLong() / 1000 + "s")
                .put("open", result.answer().path("openRequests").asInt())
                .put("queued", result.answer().path("queued").asInt());
        int gone = 0;
        for (JsonNode node : result.answer().path("members")) {
            gone += node.path("state").asText().equals("ALIVE") ? 0 : 1;
        }
        objectNode.put("missing", gone);
        List<String> wants = new ArrayList<>();
        for (CommandWithTtl ttl : ControlCodec.commands(result.answer())) {
            if (ttl.ttlMs() > 0 && ttl.command().intent() != Intent.NONE) {
                wants.add(
                        ttl.command().intent().name().toLowerCase()
                                + " "
                                + ttl.command().subject()
                                + " by "
                                + ttl.command().owner()
                                + " for "
                                + ttl.ttlMs() / 1000
                                + "s");
            }
        }
        objectNode
                .put("notices", String.join(", ", wants))
                .put("durable", result.answer().path("durable").asBoolean());
        long days =
                (result.answer().path("certificateEndsMs").asLong() - System.currentTimeMillis())
                        / 86_400_000L;
        if (days < 30) {
            objectNode.put("certificate", "ends in " + days + " days");
        }
    }

    /** State of all. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows each router: work, members it misses, notices.")
    static final class Status implements Callable<Integer> {
        @Mixin private Common common;

        @Override
        public Integer call() throws Exception {
            try (FleetClient fleetClient = common.tool(common.routers())) {
                return common.show(
                        fleetClient.status(), Result::isReached, FleetCommand::rowOfState);
            }
        }
    }

    /** State of all, again and again. */
    @Command(
            name = "top",
            mixinStandardHelpOptions = true,
            description = "Shows the state of all routers each second.")
    static final class Top implements Callable<Integer> {
        @Mixin private Common common;

        @Option(names = "--count", description = "How often; for ever if not given.")
        private int count = Integer.MAX_VALUE;

        @Override
        public Integer call() throws Exception {
            int status = 0;
            try (FleetClient fleetClient = common.tool(common.routers())) {
                for (int i = 0; i < count; i++) {
                    System.out.print(System.console() != null ? "\033[H\033[2J" : "");
                    status =
                            common.show(
                                    fleetClient.status(),
                                    Result::isReached,
                                    FleetCommand::rowOfState);
                    if (i + 1 < count) {
                        TimeUnit.SECONDS.sleep(1);
                    }
                }
            }
            return status;
        }
    }

    /** What commands that issue a notice share. */
    private abstract static class Issue implements Callable<Integer> {
        @Mixin Common common;

        @Parameters(paramLabel = "SUBJECT", description = "Name of an engine, or router:NAME.")
        private String subject;

        @Option(
                names = "--for",
                description = "Hours that it holds, ${DEFAULT-VALUE} if not given.")
        private double hours = 24;

        @Option(names = "--why", description = "For people.")
        private String why = "";

        @Option(
                names = "--wait",
                description =
                        "Share of the routers that must know it before this ends, ${DEFAULT-VALUE}"
                                + " if not given.")
        private double share = 1;

        @Option(
                names = "--wait-timeout",
                description = "Seconds to wait for that, ${DEFAULT-VALUE} if not given.")
        private double waitTimeout = 10;

        String subject() {
            return subject.startsWith("router:") ? subject : OperatorCommand.engine(subject);
        }

        abstract List<String> owners(Map<String, Result> known, String operator) throws IOException;

        abstract Intent intent();

        @Override
        public Integer call() throws Exception {
            try (FleetClient fleetClient = common.tool(common.routers())) {
                Map<String, Result> known = fleetClient.status();
                List<OperatorCommand> notices = new ArrayList<>();
                for (String owner : owners(known, common.fleet().operator())) {
                    notices.add(fleetClient.nextCommand(subject(), owner, intent(), why, known));
                }
                System.err.printf(
                        "%s %s: %d notices to %d routers, %d of them reached now%n",
                        intent().name().toLowerCase(),
                        subject(),
                        notices.size(),
                        known.size(),
                        known.values().stream().filter(Result::isReached).count());
                if (common.dryRun || notices.isEmpty()) {
                    return 0;
                }
                Map<String, Result> told = new LinkedHashMap<>();
                for (OperatorCommand operatorCommand : notices) {
                    told.putAll(fleetClient.submit(operatorCommand, (long) (hours * 3_600_000)));
                }
                Predicate<Result> knows =
                        result ->
                                notices.stream()
                                        .allMatch(
                                                operatorCommand ->
                                                        FleetClient.hasCommand(
                                                                result, operatorCommand));
                Map<String, Result> now =
                        fleetClient.awaitStatus(share, (long) (waitTimeout * S), knows);
                int status =
                        common.show(
                                now,
                                knows,
                                (result, objectNode) -> {
                                    Result t1 = told.get(result.router());
                                    objectNode
                                            .put("told", t1.isReached())
                                            .put("knows", knows.test(result));
                                    if (t1.isReached()) {
                                        objectNode.put("toldAtMs", t1.atMs());
                                    }
                                    if (result.isReached()
                                            && !result.answer().path("durable").asBoolean()) {
                                        objectNode.put("durable", false);
                                    }
                                });
                if (status != 0 && now.values().stream().anyMatch(knows)) {
                    System.err.println(
                            "those that know it tell the others when they reach them: each compares"
                                    + " with one a second");
                }
                return status;
            }
        }
    }

    /** Drains. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description =
                    "Tells all routers that an engine gets no fresh work (or that router:NAME takes"
                            + " none).")
    static final class Drain extends Issue {
        @Override
        List<String> owners(Map<String, Result> known, String operator) {
            return List.of(operator);
        }

        @Override
        Intent intent() {
            return Intent.DRAIN;
        }
    }

    /** Withdraws drains. */
    @Command(
            name = "undrain",
            mixinStandardHelpOptions = true,
            description = "Withdraws the operator's own drain.")
    static final class Undrain extends Issue {
        @Option(names = "--all-owners", description = "Withdraw the drains of others too.")
        private boolean all;

        @Override
        List<String> owners(Map<String, Result> known, String operator) throws IOException {
            List<String> owners = FleetClient.activeOwners(subject(), known);
            if (!all && owners.stream().anyMatch(text -> !text.equals(operator))) {
                System.err.println(
                        "it stays drained by "
                                + owners.stream().filter(text -> !text.equals(operator)).toList()
                                + "; --all-owners overrules them");
            }
            return all ? owners : List.of(operator);
        }

        @Override
        Intent intent() {
            return Intent.NONE;
        }
    }

    // ---- Processes
    private static void launch(Member member) throws IOException {
        Files.createDirectories(member.log().getParent());
        new ProcessBuilder(
                        SuperviseCommand.ownCommand(
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
                    "Starts routers on this machine under supervision, and waits until they are"
                            + " ready.")
    static final class Start implements Callable<Integer> {
        @Mixin private Common common;

        @Option(
                names = "--wait-timeout",
                description = "Seconds to wait, ${DEFAULT-VALUE} if not given.")
        private double waitTimeout = 30;

        @Override
        public Integer call() throws Exception {
            try (FleetClient fleetClient = common.tool(common.routers())) {
                Map<String, Result> before = fleetClient.status();
                for (Member member : common.routers()) {
                    boolean up = before.get(member.name()).isReached();
                    System.err.println(
                            member.name()
                                    + (up
                                            ? " runs already"
                                            : " is started with " + member.config()));
                    if (!up && !common.dryRun) {
                        launch(member);
                    }
                }
                return common.dryRun
                        ? 0
                        : common.show(
                                fleetClient.awaitStatus(
                                        1, (long) (waitTimeout * S), Result::isReached),
                                Result::isReached,
                                FleetCommand::rowOfState);
            }
        }
    }

    /** Stops one router: it drains, ends, and is gone; false where it did not within the time. */
    private static boolean stop(Common common, Member member, long timeoutNs) throws Exception {
        try (FleetClient fleetClient = common.tool(List.of(member))) {
            Map<String, Result> known = fleetClient.status();
            if (!known.get(member.name()).isReached()) {
                return true;
            }
            fleetClient.submit(
                    fleetClient.nextCommand(
                            OperatorCommand.router(member.name()),
                            common.fleet().operator(),
                            Intent.STOP,
                            "stop",
                            known),
                    STOP_MS);
            return !fleetClient
                    .awaitStatus(1, timeoutNs, result -> !result.isReached())
                    .get(member.name())
                    .isReached();
        }
    }

    /** Stops routers. */
    @Command(
            name = "stop",
            mixinStandardHelpOptions = true,
            description = "Stops routers: each finishes its work within its limit.")
    static final class Stop implements Callable<Integer> {
        @Mixin private Common common;

        @Option(
                names = "--wait-timeout",
                description = "Seconds to wait for each, ${DEFAULT-VALUE} if not given.")
        private double waitTimeout = 30;

        @Override
        public Integer call() throws Exception {
            int did = 0;
            for (Member member : common.routers()) {
                boolean down = common.dryRun || stop(common, member, (long) (waitTimeout * S));
                did += down ? 1 : 0;
                System.out.println(
                        member.name()
                                + (common.dryRun
                                        ? " would be stopped"
                                        : down ? " is down" : " did not stop in time"));
            }
            return did == common.routers().size() ? 0 : did > 0 ? SOME : NONE;
        }
    }

    /** Rolls. */
    @Command(
            name = "restart",
            mixinStandardHelpOptions = true,
            description =
                    "Restarts routers one after the other, hall by hall; stops where one does not"
                            + " come back, or where fewer routers than the wanted share are up.")
    static final class Restart implements Callable<Integer> {
        @Mixin private Common common;

        @Option(
                names = "--up",
                description =
                        "Share of all routers that must be up before the next, ${DEFAULT-VALUE} if"
                                + " not given.")
        private double up = 0.9;

        @Option(
                names = "--wait-timeout",
                description =
                        "Seconds for each to stop and to be ready, ${DEFAULT-VALUE} if not given.")
        private double waitTimeout = 30;

        @Override
        public Integer call() throws Exception {
            List<Member> plan = new ArrayList<>(common.routers());
            plan.sort(java.util.Comparator.comparing(Member::zone).thenComparing(Member::name));
            System.err.println(
                    "in this order: "
                            + plan.stream()
                                    .map(member -> member.name() + " (" + member.zone() + ")")
                                    .toList());
            int did = 0;
            for (Member member : common.dryRun ? List.<Member>of() : plan) {
                if (!enough()) {
                    System.err.println(
                            "stopped before "
                                    + member.name()
                                    + ": fewer than "
                                    + up
                                    + " of all routers are up");
                    break;
                }
                boolean down = stop(common, member, (long) (waitTimeout * S));
                if (!down) {
                    System.err.println(member.name() + " did not stop in time; the roll ends here");
                    break;
                }
                launch(member);
                try (FleetClient fleetClient = common.tool(List.of(member))) {
                    if (!fleetClient
                            .awaitStatus(1, (long) (waitTimeout * S), Result::isReached)
                            .get(member.name())
                            .isReached()) {
                        System.err.println(
                                member.name() + " did not come back in time; the roll ends here");
                        break;
                    }
                }
                did++;
                System.out.println(member.name() + " is back");
            }
            return common.dryRun || did == plan.size() ? 0 : did > 0 ? SOME : NONE;
        }

        private boolean enough() throws Exception {
            List<Member> all = List.copyOf(common.fleet().routers().values());
            try (FleetClient fleetClient = common.tool(all)) {
                return fleetClient.status().values().stream().filter(Result::isReached).count()
                        >= Math.floor(up * all.size());
            }
        }
    }

    /** Shows logs. */
    @Command(
            name = "logs",
            mixinStandardHelpOptions = true,
            description = "Prints the ends of the logs of routers on this machine.")
    static final class Logs implements Callable<Integer> {
        @Mixin private Common common;

        @Option(names = "--lines", description = "Lines of each, ${DEFAULT-VALUE} if not given.")
        private int lines = 20;

        @Override
        public Integer call() throws Exception {
            for (Member member : common.routers()) {
                System.out.println("==> " + member.name() + " <==");
                if (Files.exists(member.log())) {
                    List<String> all = tail(member.log());
                    all.subList(Math.max(0, all.size() - lines), all.size())
                            .forEach(System.out::println);
                }
            }
            return 0;
        }

        /** The lines of the last 256 KiB. */
        private static List<String> tail(Path log) throws IOException {
            try (java.io.RandomAccessFile file = new java.io.RandomAccessFile(log.toFile(), "r")) {
                long from = Math.max(0, file.length() - (256 << 10));
                byte[] bytes = new byte[(int) (file.length() - from)];
                file.seek(from);
                file.readFully(bytes);
                return new String(bytes, java.nio.charset.StandardCharsets.UTF_8).lines().toList();
            }
        }
    }
}
