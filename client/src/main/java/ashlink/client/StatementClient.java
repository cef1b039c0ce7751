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

/**
 * Posts statements to a router and fetches their answers page by page. Safe for use by many
 * threads.
 */
public final class StatementClient {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long S = 1_000_000_000L;
    private static final long LONGEST_POLL_NS = 10 * S;
    private static final int NOT_YET = 202;

    private final HttpClient http;
    private final URI server;
    private final String authorization;

    /** A client of that server, such as {@code http://127.0.0.1:8123}. */
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

    /** The same with connections shared with others. */
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
     * Runs a statement.
     *
     * @param rows of a load, or null
     * @param key under which it runs once, or null
     * @param pages is given each page, and what is known while there is none yet
     */
    public StatementResult run(
            String statement,
            Map<String, String> settings,
            JsonNode rows,
            String key,
            long timeoutNs,
            Consumer<JsonNode> pages)
            throws InterruptedException {
        long until = System.nanoTime() + timeoutNs;
        ObjectNode body = JSON.createObjectNode().put("statement", statement);
        ObjectNode set = body.putObject("settings");
        settings.forEach(set::put);
        if (rows != null) {
            body.set("rows", rows);
        }
        long seen = 0;
        long bytes = 0;
        boolean sent = false;
        try {
            HttpRequest.Builder first =
                    request("/v1/statements", until)
                            .header("Content-Type", "application/json")
                            .POST(
                                    HttpRequest.BodyPublishers.ofByteArray(
                                            JSON.writeValueAsBytes(body)));
            HttpResponse<byte[]> httpResponse =
                    send(key == null ? first : first.header("Idempotency-Key", key));
            while (true) {
                sent = true;
                JsonNode node =
                        httpResponse.body().length == 0
                                ? JSON.createObjectNode()
                                : JSON.readTree(httpResponse.body());
                bytes += httpResponse.body().length;
                if (httpResponse.statusCode() != 200 && httpResponse.statusCode() != NOT_YET) {
                    return problem(httpResponse.statusCode(), node, seen, bytes);
                }
                pages.accept(node);
                seen += node.path("rows").isArray() ? node.get("rows").size() : 0;
                if (httpResponse.statusCode() == 200 && !node.has("nextUri")) {
                    return new StatementResult(
                            StatementResult.Kind.SERVED, 200, "", "", 0, 0, seen, bytes);
                }
                httpResponse = send(request(node.get("nextUri").asText(), until).GET());
            }
        } catch (HttpConnectTimeoutException | ConnectException e) {
            return new StatementResult(
                    sent ? StatementResult.Kind.LOST : StatementResult.Kind.NOT_SENT,
                    0,
                    "",
                    String.valueOf(e),
                    0,
                    0,
                    seen,
                    bytes);
        } catch (HttpTimeoutException e) {
            return new StatementResult(
                    StatementResult.Kind.TIMED_OUT, 0, "", "", 0, 0, seen, bytes);
        } catch (IOException e) {
            return new StatementResult(
                    StatementResult.Kind.LOST, 0, "", String.valueOf(e), 0, 0, seen, bytes);
        }
    }

    /** Calls a statement off; false where it was not known. */
    public boolean cancel(String id) throws IOException, InterruptedException {
        return send(request("/v1/statements/" + id, System.nanoTime() + LONGEST_POLL_NS).DELETE())
                        .statusCode()
                == 200;
    }

    private HttpRequest.Builder request(String path, long until) throws HttpTimeoutException {
        long left = until - System.nanoTime();
        if (left <= 0) {
            throw new HttpTimeoutException("the client's time is up");
        }
        String wait =
                String.format(Locale.ROOT, "?wait=%.3f", Math.min(left, LONGEST_POLL_NS) / 1e9);
        return HttpRequest.newBuilder(server.resolve(path + wait))
                .timeout(Duration.ofNanos(left))
                .header("Authorization", authorization);
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder builder)
            throws IOException, InterruptedException {
        return http.send(builder.build(), BodyHandlers.ofByteArray());
    }

    private static StatementResult problem(int status, JsonNode node, long rows, long bytes) {
        String type = node.path("type").asText().replace("/problems/", "");
        StatementResult.Kind kind =
                status == 404 ? StatementResult.Kind.LOST : StatementResult.Kind.PROBLEM;
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
