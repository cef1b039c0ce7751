package ashlink.cli;

import ashlink.config.FleetConfig;
import ashlink.control.member.ControlCodec;
import ashlink.control.tool.FleetClient.Result;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Prints the results of fleet commands, one row per router. */
final class FleetRows {

    private static final int SOME_ROUTERS = 3;
    private static final int NO_ROUTER = 4;

    private FleetRows() {}

    /** Adds the fields of one router's row. */
    interface RowWriter {
        void addFields(Result result, ObjectNode row) throws IOException;
    }

    /**
     * Prints a row for each router and returns the exit status: 0 if all results are good, 3 if
     * some are, 4 if none is.
     */
    static int print(
            FleetConfig fleet,
            boolean json,
            Map<String, Result> results,
            Predicate<Result> isGood,
            RowWriter rowWriter)
            throws IOException {
        ArrayNode rows = new ObjectMapper().createArrayNode();
        long goodCount = 0;
        for (Result result : results.values()) {
            boolean ok = isGood.test(result);
            goodCount += ok ? 1 : 0;
            ObjectNode row =
                    rows.addObject()
                            .put("router", result.router())
                            .put("hall", fleet.routers().get(result.router()).zone())
                            .put("ok", ok);
            if (!result.isReached()) {
                row.put("error", result.error());
            }
            rowWriter.addFields(result, row);
        }
        if (json) {
            System.out.println(
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(rows));
        } else {
            printTable(rows);
        }
        return exitStatus(goodCount, results.size());
    }

    private static void printTable(ArrayNode rows) {
        for (JsonNode node : rows) {
            StringBuilder line = new StringBuilder();
            node.properties()
                    .forEach(
                            entry ->
                                    line.append(
                                            entry.getKey().equals("router")
                                                            || entry.getKey().equals("hall")
                                                    ? String.format(
                                                            "%-12s ", entry.getValue().asText())
                                                    : entry.getKey()
                                                            + "="
                                                            + entry.getValue().asText()
                                                            + "  "));
            System.out.println(line);
        }
    }

    /** Returns the exit status of a command that succeeded on some of the routers. */
    static int exitStatus(long goodCount, int routerCount) {
        return goodCount == routerCount ? 0 : goodCount > 0 ? SOME_ROUTERS : NO_ROUTER;
    }

    /** Adds the state of a router that was reached. */
    static void addState(Result result, ObjectNode row) throws IOException {
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
}
