package ashlink.loadtest.load;

import ashlink.client.StatementClient;
import ashlink.client.StatementResult;
import ashlink.config.ScenarioConfig.LoadClass;
import ashlink.loadtest.client.Reply;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Sends queries over the HTTP statement API and maps the results to native replies. */
final class HttpLoad {

    private static final JsonNode ROWS =
            JsonNodeFactory.instance
                    .arrayNode()
                    .add(JsonNodeFactory.instance.arrayNode().add("1").add("a"))
                    .add(JsonNodeFactory.instance.arrayNode().add("2").add("b"));
    private static final int REJECTED_CODE = 202;
    private static final int FAILED_CODE = 210;

    /** The end of an attempt; {@code sent} is false if nothing can have reached the router. */
    record Result(Reply reply, boolean sent) {}

    private final Function<String, InetSocketAddress> addresses;
    private final HttpClient httpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private final Map<String, StatementClient> clients = new ConcurrentHashMap<>();

    HttpLoad(Function<String, InetSocketAddress> addresses) {
        this.addresses = addresses;
    }

    Result run(
            String router,
            LoadClass loadClass,
            String statement,
            Map<String, String> settings,
            String idempotencyKey,
            long timeoutNs) {
        StatementClient client =
                clients.computeIfAbsent(
                        router + "/" + loadClass.user(),
                        name ->
                                new StatementClient(
                                        httpClient,
                                        URI.create(
                                                "http://127.0.0.1:"
                                                        + addresses.apply(router).getPort()),
                                        loadClass.user(),
                                        ""));
        try {
            StatementResult statementResult =
                    client.run(
                            statement,
                            settings,
                            loadClass.write() ? ROWS : null,
                            loadClass.write() ? idempotencyKey : null,
                            timeoutNs,
                            page -> {});
            return new Result(
                    reply(statementResult),
                    statementResult.kind() != StatementResult.Kind.NOT_SENT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result(
                    new Reply(
                            Reply.Kind.LOST,
                            0,
                            "interrupted while waiting for the response",
                            0,
                            0,
                            System.nanoTime()),
                    true);
        }
    }

    private static Reply reply(StatementResult statementResult) {
        Reply.Kind kind =
                switch (statementResult.kind()) {
                    case SERVED -> Reply.Kind.SERVED;
                    case PROBLEM -> Reply.Kind.EXCEPTION;
                    case TIMED_OUT -> Reply.Kind.TIMED_OUT;
                    case NOT_SENT, LOST -> Reply.Kind.LOST;
                };
        int code =
                statementResult.kind() != StatementResult.Kind.PROBLEM
                        ? 0
                        : statementResult.isRejected()
                                ? REJECTED_CODE
                                : statementResult.code() != 0
                                        ? statementResult.code()
                                        : FAILED_CODE;
        return new Reply(
                kind,
                code,
                statementResult.status()
                        + " "
                        + statementResult.problem()
                        + " "
                        + statementResult.detail(),
                statementResult.rows(),
                statementResult.bytes(),
                System.nanoTime());
    }
}
