package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** HTTP clients that misbehave or are numerous are limited and do not affect other clients. */
class MisbehavingHttpClientsTest {

    private static final String POST_REQUEST =
            "POST /v1/statements?wait=10 HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\n"
                    + "Content-Length: 8\r\n\r\nSELECT 1";

    private static final OpenApiDescription DESCRIPTION = new OpenApiDescription();

    /** Groups: content type, length of the body, text after the headers. */
    private static final Pattern RESPONSE =
            Pattern.compile(
                    "(?is)content-type: ([^;\\r]+).*content-length: (\\d+).*?\\r\\n\\r\\n(.*)");

    private static TestFleet fleet(String settings) throws Exception {
        return TestFleet.of("q1:typ-a")
                .with("(http (listen 127.0.0.1:0) " + settings + ")")
                .start();
    }

    private static Socket connect(TestFleet fleet) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        socket.connect(
                new InetSocketAddress("127.0.0.1", fleet.router.httpAddress().getPort()), 10_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads until the connection ends or no data arrives for the idle timeout. */
    private static String read(Socket socket, int idleTimeoutMs) throws IOException {
        StringBuilder text = new StringBuilder();
        socket.setSoTimeout(idleTimeoutMs);
        byte[] buffer = new byte[8192];
        InputStream in = socket.getInputStream();
        try {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            }
            text.append("<closed>");
        } catch (SocketTimeoutException e) {
            text.append("<quiet>");
        } catch (IOException e) {
            text.append("<reset>");
        }
        return text.toString();
    }

    private static void assertServes(TestFleet fleet) throws Exception {
        assertEquals(
                200,
                new StatementApiClient(fleet.router.httpAddress())
                        .post("SELECT 1", "?wait=10")
                        .statusCode());
    }

    @Test
    void headersAndBodiesOverTheLimitAreRejected() throws Exception {
        try (TestFleet fleet = fleet("(body 64KiB) (headers 4KiB)")) {
            try (Socket socket = connect(fleet)) {
                write(
                        socket,
                        "GET /v1/openapi.json HTTP/1.1\r\nHost: a\r\nX: " + "y".repeat(60_000));
                assertTrue(read(socket, 2_000).startsWith("HTTP/1.1 431"));
            }
            String statement = "SELECT '" + "x".repeat(100_000) + "'";
            assertBodyIsTooLarge(
                    fleet, "Content-Length: " + statement.length() + "\r\n\r\n" + statement);
            String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
            assertBodyIsTooLarge(
                    fleet, "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(25) + "0\r\n\r\n");
            assertServes(fleet);
        }
    }

    /**
     * Checks for a 413 response. The router may respond and close the connection before the last
     * byte of the body is written; the response that was received by then can still be read.
     */
    private static void assertBodyIsTooLarge(TestFleet fleet, String headersAndBody)
            throws Exception {
        try (Socket socket = connect(fleet)) {
            try {
                write(socket, "POST /v1/statements HTTP/1.1\r\nHost: a\r\n" + headersAndBody);
            } catch (IOException expected) {
                // The router closed the connection before it had read everything.
            }
            String response = read(socket, 2_000);
            assertTrue(response.startsWith("HTTP/1.1 413"), response);
            Matcher matcher = RESPONSE.matcher(response);
            assertTrue(matcher.find(), response);
            int length = Integer.parseInt(matcher.group(2));
            String body = matcher.group(3).substring(0, length);
            DESCRIPTION.check("/v1/statements", "post", 413, matcher.group(1), body);
            assertTrue(body.contains("/problems/too-large"), body);
        }
    }

    @Test
    void slowRequestsAreClosedWithinTheirTimeout() throws Exception {
        try (TestFleet fleet = fleet("(header-time 400ms) (body-time 400ms)")) {
            for (String start :
                    new String[] {
                        "GET /v1/openapi.json HTTP/1.1\r\nHost: a\r\nX: ",
                        "POST /v1/statements HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n"
                    }) {
                try (Socket socket = connect(fleet)) {
                    write(socket, start);
                    long deadlineNs = System.nanoTime() + 15 * TestFleet.NS_PER_SECOND;
                    boolean open = true;
                    while (open && System.nanoTime() < deadlineNs) {
                        try {
                            write(socket, "y");
                            Thread.sleep(50);
                            open = socket.getInputStream().available() == 0;
                        } catch (IOException e) {
                            open = false;
                        }
                    }
                    assertTrue(!open, "a byte every 50 ms keeps the connection open: " + start);
                }
            }
            assertServes(fleet);
        }
    }

    @Test
    void http10PipelinedAndHalfClosedConnectionsAreServed() throws Exception {
        try (TestFleet fleet = fleet("")) {
            try (Socket socket = connect(fleet)) {
                write(socket, POST_REQUEST.replace("HTTP/1.1\r\nHost: a\r\n", "HTTP/1.0\r\n"));
                String response = read(socket, 10_000);
                assertTrue(
                        response.startsWith("HTTP/1.1 200") && response.endsWith("<closed>"),
                        response);
            }
            try (Socket socket = connect(fleet)) {
                write(
                        socket,
                        POST_REQUEST
                                + POST_REQUEST
                                + "GET /v1/nothing HTTP/1.1\r\nHost: a\r\n\r\n");
                String response = read(socket, 1_500);
                int firstIndex = response.indexOf("HTTP/1.1 200");
                int secondIndex = response.indexOf("HTTP/1.1 200", firstIndex + 1);
                assertTrue(
                        firstIndex == 0
                                && secondIndex > 0
                                && response.indexOf("HTTP/1.1 404", secondIndex) > 0,
                        response);
            }
            try (Socket socket = connect(fleet)) {
                write(socket, POST_REQUEST);
                socket.shutdownOutput();
                assertTrue(read(socket, 10_000).startsWith("HTTP/1.1 200"));
            }
            try (Socket socket = connect(fleet)) {
                write(socket, "\0\1\2 garbage\r\n\r\n");
                assertTrue(read(socket, 2_000).startsWith("HTTP/1.1 400"));
            }
            assertServes(fleet);
        }
    }

    @Test
    void badRequestsGetASpecificError() throws Exception {
        try (TestFleet fleet = fleet("")) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            assertEquals(400, client.post("  ", "").statusCode());
            assertEquals(
                    400, client.post("{", "", "Content-Type", "application/json").statusCode());
            assertEquals(
                    400,
                    client.post(
                                    "{\"statement\":\"SELECT 1\",\"what\":1}",
                                    "",
                                    "Content-Type",
                                    "application/json")
                            .statusCode());
            assertEquals(
                    400,
                    client.post("[".repeat(100_000), "", "Content-Type", "application/json")
                            .statusCode());
            assertEquals(
                    415, client.post("SELECT 1", "", "Content-Type", "image/png").statusCode());
            assertEquals(400, client.post("SELECT 1", "?wait=soon").statusCode());
            assertEquals(
                    400,
                    client.post("SELECT 1", "", "Idempotency-Key", "k".repeat(300)).statusCode());
            assertEquals(405, client.delete("/v1/statements").statusCode());
            assertEquals(404, client.get("/v1/statements/../../etc").statusCode());
            HttpResponse<String> rows =
                    client.post(
                            "{\"statement\":\"INSERT INTO t VALUES\",\"rows\":[[\"x\",\"y\"]]}",
                            "?wait=10",
                            "Content-Type",
                            "application/json");
            assertEquals(422, rows.statusCode(), rows.body());
            assertTrue(rows.body().contains("row 0, column id"), rows.body());
            assertEquals(
                    0,
                    fleet.ledger().stream().filter(entry -> entry.ranNs() > 0).count(),
                    "a bad request was executed");
        }
    }

    @Test
    void longPollsUseNoThreadsAndAreAllAnswered() throws Exception {
        try (TestFleet fleet = fleet("(open-user 20)")) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            fleet.engine("q1").hang(true);
            String uri =
                    com.fasterxml.jackson.databind.json.JsonMapper.builder()
                            .build()
                            .readTree(
                                    client.post(
                                                    "SELECT /* sim tag=w */ 1",
                                                    "?max_execution_time=1.5")
                                            .body())
                            .get("nextUri")
                            .asText();
            int threadsBefore = Thread.activeCount();
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 1_000; i++) {
                Socket socket = connect(fleet);
                write(socket, "GET " + uri + "?wait=30 HTTP/1.1\r\nHost: a\r\n\r\n");
                sockets.add(socket);
            }
            assertTrue(
                    Thread.activeCount() - threadsBefore < 100,
                    "threads: " + (Thread.activeCount() - threadsBefore));
            for (Socket socket : sockets) {
                byte[] statusLine = socket.getInputStream().readNBytes(12);
                String status = new String(statusLine, StandardCharsets.ISO_8859_1);
                assertTrue(status.equals("HTTP/1.1 503") || status.equals("HTTP/1.1 502"), status);
                socket.close();
            }
        }
    }

    @Test
    void userOverTheStatementLimitIsRejectedAndOthersAreNot() throws Exception {
        try (TestFleet fleet = fleet("(open-user 3) (unpolled 1h)")) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            fleet.engine("q1").hang(true);
            for (int i = 0; i < 3; i++) {
                assertEquals(202, client.post("SELECT 1", "?max_execution_time=60").statusCode());
            }
            HttpResponse<String> rejected = client.post("SELECT 1", "");
            assertEquals(429, rejected.statusCode());
            assertEquals("1", rejected.headers().firstValue("Retry-After").orElse(""));
            String portal =
                    "Basic " + java.util.Base64.getEncoder().encodeToString("portal:".getBytes());
            assertEquals(202, client.post("SELECT 1", "", "Authorization", portal).statusCode());
        }
    }

    @Test
    void clientsThatDoNotReadDoNotDelayOthers() throws Exception {
        try (TestFleet fleet = fleet("(body-time 1s) (page 16MiB) (memory 16MiB)")) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            String statement = "SELECT /* sim rows=20000 blocks=2 width=500 */ 1";
            List<Socket> slowSockets = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                slowSockets.add(postWithSmallReceiveBuffer(fleet, statement));
            }
            List<CompletableFuture<HttpResponse<String>>> otherResponses = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                otherResponses.add(
                        client.httpClient()
                                .sendAsync(
                                        client.request("/v1/statements?wait=10")
                                                .POST(
                                                        HttpRequest.BodyPublishers.ofString(
                                                                "SELECT 1"))
                                                .build(),
                                        BodyHandlers.ofString()));
            }
            for (CompletableFuture<HttpResponse<String>> response : otherResponses) {
                assertEquals(200, response.get().statusCode());
            }
            for (Socket socket : slowSockets) {
                Thread.sleep(1_500);
                String response = read(socket, 5_000);
                assertTrue(
                        response.startsWith("HTTP/1.1 200"),
                        response.substring(0, Math.min(200, response.length())));
                assertTrue(
                        !response.endsWith("<quiet>") && response.length() < 9_000_000,
                        "not cut off; length of the response: " + response.length());
                socket.close();
            }
        }
    }

    private static Socket postWithSmallReceiveBuffer(TestFleet fleet, String statement)
            throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(
                new InetSocketAddress("127.0.0.1", fleet.router.httpAddress().getPort()), 10_000);
        write(
                socket,
                "POST /v1/statements?wait=10 HTTP/1.1\r\nHost: a\r\nContent-Length: "
                        + statement.length()
                        + "\r\n\r\n"
                        + statement);
        return socket;
    }
}
