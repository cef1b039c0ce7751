package ashlink.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/** Submits statements to a router over HTTP and fetches their results page by page. Thread-safe. */
public final class StatementClient {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_POLL_NS = 10 * NS_PER_SECOND;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;

    private final HttpClient http;
    private final URI server;
    private final String authorization;

    /**
     * Creates a client with its own connections.
     *
     * @param server base URI of the server, such as {@code http://127.0.0.1:8123}
     */
    public StatementClient(URI server, String user, String password) {
        this(
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(Duration.ofSeconds(5))
                        .followRedirects(HttpClient.Redirect.NORMAL)
                        .build(),
                server,
                user,
                password);
    }

    /** Creates a client that shares the connections of {@code http} with other clients. */
    public StatementClient(HttpClient http, URI server, String user, String password) {
        this.http = http;
        this.server = server;
        this.authorization =
                "Basic "
                        + Base64.getEncoder()
                                .encodeToString(
                                        (user + ":" + password).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Runs a statement and fetches all pages of its result.
     *
     * @param statement the SQL text
     * @param settings settings of the statement by name
     * @param rows rows to insert; null for none
     * @param idempotencyKey key that prevents a second execution of the statement; null for none
     * @param timeoutNs time in nanoseconds after which the client stops waiting
     * @param pageConsumer receives each page, and the state of the statement while no page is
     *     available
     * @return the outcome of the statement; connection failures are reported as an outcome and not
     *     as an exception
     */
    public StatementResult run(
            String statement,
            Map<String, String> settings,
            JsonNode rows,
            String idempotencyKey,
            long timeoutNs,
            Consumer<JsonNode> pageConsumer)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutNs;
        Progress progress = new Progress();
        try {
            HttpRequest.Builder submission = submission(statement, settings, rows, deadlineNs);
            if (idempotencyKey != null) {
                submission.header("Idempotency-Key", idempotencyKey);
            }
            return fetchAll(send(submission), deadlineNs, pageConsumer, progress);
        } catch (HttpConnectTimeoutException | ConnectException e) {
            StatementResult.Kind kind =
                    progress.submitted ? StatementResult.Kind.LOST : StatementResult.Kind.NOT_SENT;
            return progress.result(kind, String.valueOf(e));
        } catch (HttpTimeoutException e) {
            return progress.result(StatementResult.Kind.TIMED_OUT, "");
        } catch (IOException e) {
            return progress.result(StatementResult.Kind.LOST, String.valueOf(e));
        }
    }

    /** The progress of one statement so far. */
    private static final class Progress {
        private boolean submitted;
        private long rows;
        private long bytes;

        /** Returns a result without a response from the server. */
        StatementResult result(StatementResult.Kind kind, String detail) {
            return new StatementResult(kind, 0, "", detail, 0, 0, rows, bytes);
        }
    }

    private HttpRequest.Builder submission(
            String statement, Map<String, String> settings, JsonNode rows, long deadlineNs)
            throws IOException {
        ObjectNode body = JSON.createObjectNode().put("statement", statement);
        ObjectNode settingsNode = body.putObject("settings");
        settings.forEach(settingsNode::put);
        if (rows != null) {
            body.set("rows", rows);
        }
        return request("/v1/statements", deadlineNs)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body)));
    }

    private StatementResult fetchAll(
            HttpResponse<byte[]> submitted,
            long deadlineNs,
            Consumer<JsonNode> pageConsumer,
            Progress progress)
            throws IOException, InterruptedException {
        HttpResponse<byte[]> response = submitted;
        while (true) {
            progress.submitted = true;
            JsonNode node =
                    response.body().length == 0
                            ? JSON.createObjectNode()
                            : JSON.readTree(response.body());
            progress.bytes += response.body().length;
            if (response.statusCode() != OK && response.statusCode() != ACCEPTED) {
                return problemResult(response.statusCode(), node, progress.rows, progress.bytes);
            }
            pageConsumer.accept(node);
            progress.rows += node.path("rows").isArray() ? node.get("rows").size() : 0;
            if (response.statusCode() == OK && !node.has("nextUri")) {
                return new StatementResult(
                        StatementResult.Kind.SERVED,
                        OK,
                        "",
                        "",
                        0,
                        0,
                        progress.rows,
                        progress.bytes);
            }
            response = send(request(node.get("nextUri").asText(), deadlineNs).GET());
        }
    }

    /** Cancels a statement; returns false if the statement is unknown to the server. */
    public boolean cancel(String id) throws IOException, InterruptedException {
        return send(request("/v1/statements/" + id, System.nanoTime() + MAX_POLL_NS).DELETE())
                        .statusCode()
                == OK;
    }

    private HttpRequest.Builder request(String path, long deadlineNs) throws HttpTimeoutException {
        long remainingNs = deadlineNs - System.nanoTime();
        if (remainingNs <= 0) {
            throw new HttpTimeoutException("client timeout elapsed");
        }
        String wait =
                String.format(Locale.ROOT, "?wait=%.3f", Math.min(remainingNs, MAX_POLL_NS) / 1e9);
        return HttpRequest.newBuilder(server.resolve(path + wait))
                .timeout(Duration.ofNanos(remainingNs))
                .header("Authorization", authorization);
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder builder)
            throws IOException, InterruptedException {
        return http.send(builder.build(), BodyHandlers.ofByteArray());
    }

    private static StatementResult problemResult(int status, JsonNode node, long rows, long bytes) {
        String type = node.path("type").asText().replace("/problems/", "");
        StatementResult.Kind kind =
                status == NOT_FOUND ? StatementResult.Kind.LOST : StatementResult.Kind.PROBLEM;
        return new StatementResult(
                kind,
                status,
                type,
                node.path("title").asText() + ": " + node.path("detail").asText(),
                node.path("code").asInt(),
                node.path("retryAfterMs").asLong(),
                rows,
                bytes);
    }
}
