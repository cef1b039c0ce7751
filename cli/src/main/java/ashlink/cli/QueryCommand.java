package ashlink.cli;

import ashlink.client.StatementClient;
import ashlink.client.StatementResult;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.net.URI;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a statement through the HTTP statement API and prints its rows. */
@Command(
        name = "query",
        mixinStandardHelpOptions = true,
        description = {
            "Sends a statement to a router over HTTP and prints the rows of the result, "
                    + "tab-separated, with progress on a terminal.",
            "Exit status: 0 success, 1 error of the engine, 3 rejected (not executed, safe to"
                    + " retry), 4 unknown (may have been executed)."
        })
final class QueryCommand implements Callable<Integer> {

    private static final int REJECTED = 3;
    private static final int OUTCOME_UNKNOWN = 4;
    private static final long PROGRESS_INTERVAL_NS = 200_000_000L;

    @Option(
            names = "--server",
            description = "HTTP address of the router; ${DEFAULT-VALUE} if not given.")
    private URI server = URI.create("http://127.0.0.1:8123");

    @Option(names = "--user", description = "User name; default if not given.")
    private String user = "default";

    @Option(
            names = "--password",
            description = "Password; prompts if the option has no value.",
            interactive = true,
            arity = "0..1")
    private char[] password = new char[0];

    @Option(
            names = "--setting",
            description = "Setting of the statement, as NAME=VALUE; may be repeated.")
    private Map<String, String> settings = new LinkedHashMap<>();

    @Option(names = "--rows", description = "Rows to insert, as a JSON array of arrays.")
    private String rows;

    @Option(
            names = "--key",
            description = "Idempotency key: statements with the same key run only once.")
    private String key;

    @Option(names = "--timeout", description = "Timeout in seconds; ${DEFAULT-VALUE} if not given.")
    private double timeoutSeconds = 300;

    @Parameters(paramLabel = "STATEMENT")
    private String statement;

    private final PrintStream terminal = System.console() != null ? System.err : null;
    private long lastProgressNs;

    @Override
    public Integer call() throws Exception {
        StatementClient client = new StatementClient(server, user, new String(password));
        AtomicReference<String> statementId = new AtomicReference<>();
        Thread cancelHook = new Thread(() -> cancel(client, statementId.get()));
        Runtime.getRuntime().addShutdownHook(cancelHook);
        JsonNode insertRows = rows == null ? null : new ObjectMapper().readTree(rows);
        StatementResult result =
                client.run(
                        statement,
                        settings,
                        insertRows,
                        key,
                        (long) (timeoutSeconds * 1e9),
                        node -> {
                            statementId.set(node.path("id").asText(null));
                            printUpdate(node);
                        });
        Runtime.getRuntime().removeShutdownHook(cancelHook);
        if (terminal != null) {
            terminal.print("\r\033[K");
        }
        if (result.kind() == StatementResult.Kind.SERVED) {
            return 0;
        }
        System.err.println(
                result.kind() == StatementResult.Kind.PROBLEM
                        ? result.problem()
                                + ": "
                                + result.detail()
                                + (result.retryAfterMs() > 0
                                        ? "; retry after " + result.retryAfterMs() + " ms"
                                        : "")
                        : result.kind() + " " + result.detail());
        if (result.kind() == StatementResult.Kind.TIMED_OUT) {
            cancel(client, statementId.get());
        }
        return result.isRejected() || result.kind() == StatementResult.Kind.NOT_SENT
                ? REJECTED
                : result.problem().equals("statement-error") ? 1 : OUTCOME_UNKNOWN;
    }

    /** Cancels the statement, because no client will fetch its result. */
    private static void cancel(StatementClient client, String id) {
        try {
            if (id != null) {
                client.cancel(id);
            }
        } catch (java.io.IOException | InterruptedException e) {
            System.err.println("failed to cancel statement " + id + ": " + e);
        }
    }

    private void printUpdate(JsonNode update) {
        for (JsonNode row : update.path("rows")) {
            if (!row.isArray()) {
                break; // before the first page, "rows" is the number of rows
            }
            StringBuilder line = new StringBuilder();
            for (JsonNode value : row) {
                line.append(line.length() > 0 ? "\t" : "")
                        .append(
                                value.isNull()
                                        ? "\\N"
                                        : value.isTextual() ? value.textValue() : value.toString());
            }
            System.out.println(line);
        }
        long nowNs = System.nanoTime();
        if (terminal != null
                && update.has("progress")
                && nowNs - lastProgressNs > PROGRESS_INTERVAL_NS) {
            lastProgressNs = nowNs;
            terminal.printf(
                    "\r\033[K%s, %.1f s, %d rows read",
                    update.path("state").asText(),
                    update.path("elapsedMs").asLong() / 1e3,
                    update.path("progress").path("rows").asLong());
        }
    }
}
