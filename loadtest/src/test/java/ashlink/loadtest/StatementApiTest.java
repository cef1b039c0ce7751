package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the HTTP statement API: responses to the client and executions at the engines. */
class StatementApiTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INSERT_REQUEST =
            "{\"statement\":\"INSERT /* sim tag=%s work_ms=%d */ INTO t"
                    + " VALUES\",\"rows\":[[\"1\",\"a\"]]}";

    @TempDir Path directory;

    private static String httpSettings(String settings) {
        return "(http (listen 127.0.0.1:0) " + settings + ")";
    }

    private static JsonNode json(HttpResponse<String> httpResponse) throws Exception {
        return JSON.readTree(httpResponse.body());
    }

    /**
     * Returns the URI of a posted statement. The statement may have ended before its POST is
     * answered; the response is then a page instead of a state.
     */
    private static String statementUri(HttpResponse<String> posted) throws Exception {
        assertTrue(posted.statusCode() == 202 || posted.statusCode() == 200, posted.body());
        return "/v1/statements/" + json(posted).get("id").asText();
    }

    private static String problemType(HttpResponse<String> httpResponse) throws Exception {
        return json(httpResponse).path("type").asText().replace("/problems/", "");
    }

    private static String selectStatement(String hints) {
        return "SELECT /* sim " + hints + " */ 1 FROM readings";
    }

    private static HttpResponse<String> postInsert(
            StatementApiClient client, String tag, int workMs, String key) throws Exception {
        HttpRequest.Builder builder =
                client.request("/v1/statements?wait=20")
                        .header("Content-Type", "application/json")
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        String.format(INSERT_REQUEST, tag, workMs)));
        return client.send(key == null ? builder : builder.header("Idempotency-Key", key));
    }

    private long pageFiles() throws Exception {
        try (Stream<Path> files = Files.list(directory.resolve("spool"))) {
            return files.filter(path -> path.toString().endsWith(".page")).count();
        }
    }

    private String spoolSettings(String extraSettings) {
        return httpSettings(
                "(spool \""
                        + directory.resolve("spool")
                        + "\") (page 4KiB) (memory 0B) "
                        + extraSettings);
    }

    // ---- Results and errors
    @Test
    void resultIsServedInThreeFormats() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(httpSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            HttpResponse<String> httpResponse =
                    client.post(selectStatement("rows=2 value=x work_ms=5"), "?wait=10");
            assertEquals(200, httpResponse.statusCode(), httpResponse.body());
            assertEquals(
                    "[[\"0\",\"x\"],[\"1\",\"x\"]]", json(httpResponse).get("rows").toString());
            assertEquals(
                    "[{\"name\":\"id\",\"type\":\"UInt64\"},{\"name\":\"value\",\"type\":\"String\"}]",
                    json(httpResponse).get("columns").toString());
            assertTrue(json(httpResponse).path("nextUri").isMissingNode());
            String uri = "/v1/statements/" + json(httpResponse).get("id").asText() + "/pages/0";
            assertEquals(
                    "\"id\",\"value\"\r\n0,\"x\"\r\n1,\"x\"\r\n",
                    client.get(uri, "Accept", "text/csv").body());
            assertEquals(
                    "{\"id\":\"0\",\"value\":\"x\"}\n{\"id\":\"1\",\"value\":\"x\"}\n",
                    client.get(uri, "Accept", "application/x-ndjson").body());
            assertEquals(406, client.get(uri, "Accept", "image/png").statusCode());

            HttpResponse<String> later = client.post(selectStatement("rows=1 work_ms=300"), "");
            assertEquals(202, later.statusCode());
            assertEquals("running", json(later).get("state").asText());
            HttpResponse<String> polled =
                    client.get(json(later).get("nextUri").asText() + "?wait=10");
            assertEquals(200, polled.statusCode());
            assertEquals(
                    "finished",
                    json(client.get(json(later).get("infoUri").asText())).get("state").asText());
        }
    }

    @Test
    void statementErrorRejectionAndFailureHaveDifferentResponses() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(httpSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            HttpResponse<String> error = client.post(selectStatement("error=62"), "?wait=10");
            assertEquals(422, error.statusCode());
            assertEquals("statement-error", problemType(error));
            assertEquals(62, json(error).get("code").asInt());
            assertEquals(
                    "application/problem+json",
                    error.headers().firstValue("Content-Type").orElse(""));
            fleet.engine("q1").faults().breakAt(Place.RUN, Break.CLOSE, 100);
            HttpResponse<String> failed = postInsert(client, "f", 5, null);
            assertEquals(502, failed.statusCode(), failed.body());
            assertTrue(json(failed).get("mayHaveRun").asBoolean());
            fleet.engine("q1").crash();
            HttpResponse<String> rejected =
                    client.post(selectStatement("rows=1"), "?wait=20&max_execution_time=1");
            assertEquals(503, rejected.statusCode(), rejected.body());
            assertEquals("refused", problemType(rejected));
            assertFalse(json(rejected).get("mayHaveRun").asBoolean());
        }
    }

    @Test
    void statementIsVisibleOnlyToItsOwner() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with(
                                httpSettings("")
                                        + "(user eva (password-hash \""
                                        + ashlink.config.Passwords.hash("secret", 4)
                                        + "\"))")
                        .start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            String authorization =
                    "Basic " + Base64.getEncoder().encodeToString("eva:secret".getBytes());
            HttpResponse<String> httpResponse =
                    client.post(
                            selectStatement("rows=1 work_ms=2000 tag=e"),
                            "",
                            "Authorization",
                            authorization);
            assertEquals(202, httpResponse.statusCode(), httpResponse.body());
            String uri = json(httpResponse).get("infoUri").asText();
            assertEquals(200, client.get(uri, "Authorization", authorization).statusCode());
            assertEquals(404, client.get(uri).statusCode());
            assertEquals(404, client.delete(uri).statusCode());
            assertEquals(404, client.get(uri + "/pages/0").statusCode());
            String wrongAuthorization =
                    "Basic " + Base64.getEncoder().encodeToString("eva:wrong".getBytes());
            assertEquals(401, client.get(uri, "Authorization", wrongAuthorization).statusCode());
            assertEquals(401, client.get(uri, "Authorization", "Bearer x").statusCode());
            assertEquals(
                    "running",
                    json(client.get(uri, "Authorization", authorization)).get("state").asText());
        }
    }

    // ---- Statements that are not polled
    @Test
    void statementThatIsNotPolledIsDiscardedWithItsPages() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with(spoolSettings("(unpolled 300ms) (kept 300ms) (tombstone-time 1s)"))
                        .start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            String running =
                    json(client.post(
                                    selectStatement("tag=long work_ms=30000"),
                                    "?max_execution_time=60"))
                            .get("infoUri")
                            .asText();
            String answered =
                    statementUri(
                            client.post(
                                    selectStatement("tag=big rows=1000 blocks=4 work_ms=1"), ""));
            TestFleet.await(
                    "the result to be spooled", () -> fleet.router.http().spooledBytes() > 0);
            TestFleet.await(
                    "both statements to be discarded",
                    () -> fleet.router.http().openStatements() == 0);
            assertEquals(0, fleet.router.http().spooledBytes());
            assertEquals(0, pageFiles());
            HttpResponse<String> gone = client.get(running + "/pages/0");
            assertEquals(410, gone.statusCode());
            assertEquals(410, client.get(answered + "/pages/0").statusCode());
            assertEquals("abandoned", json(client.get(running)).get("state").asText());
            TestFleet.await(
                    "both statements to be removed",
                    () -> fleet.router.http().knownStatements() == 0);
            assertEquals(404, client.get(running).statusCode());
            assertEquals(
                    1,
                    fleet.ledger().stream().filter(entry -> entry.tag.equals("long")).count(),
                    "the statement was not sent exactly once");
        }
    }

    @Test
    void deadlineEndsAStatementThatIsNotPolled() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(httpSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            fleet.engine("q1").hang(true);
            String uri =
                    statementUri(
                            client.post(
                                    selectStatement("tag=d work_ms=10"),
                                    "?max_execution_time=0.7"));
            TestFleet.await(
                    "the end of the statement", () -> fleet.router.core().openRequests() == 0);
            HttpResponse<String> httpResponse =
                    client.get(uri + "/pages/0?wait=10"); // The core has completed the request;
            // the response may not have
            // arrived yet.
            assertTrue(
                    httpResponse.statusCode() == 503 || httpResponse.statusCode() == 502,
                    httpResponse.body());
            assertEquals(
                    httpResponse.body(),
                    client.get(uri + "/pages/0").body(),
                    "the final response changed");
        }
    }

    // ---- Repeated, late and concurrent page requests
    @Test
    void pageStaysTheSameUntilItIsReleased() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(spoolSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            HttpResponse<String> firstResponse =
                    client.post(selectStatement("rows=500 blocks=6 width=4"), "?wait=10");
            String id = json(firstResponse).get("id").asText();
            List<String> uris = new ArrayList<>(List.of("/v1/statements/" + id + "/pages/0"));
            List<String> bodies = new ArrayList<>(List.of(firstResponse.body()));
            HttpResponse<String> httpResponse = firstResponse;
            while (json(httpResponse).has("nextUri")) {
                uris.add(json(httpResponse).get("nextUri").asText());
                httpResponse = client.get(json(httpResponse).get("nextUri").asText() + "?wait=10");
                assertEquals(200, httpResponse.statusCode(), httpResponse.body());
                String expected = httpResponse.body();
                assertConcurrentResponses(client, uris.get(uris.size() - 1), expected);
                assertEquals(
                        rowsAndNextUri(bodies.get(bodies.size() - 1)),
                        rowsAndNextUri(client.get(uris.get(uris.size() - 2)).body()),
                        "repeated request for an earlier page");
                bodies.add(expected);
            }
            assertTrue(uris.size() >= 6, uris.size() + " pages");
            int rows = 0;
            for (String text : bodies) {
                rows += JSON.readTree(text).get("rows").size();
            }
            assertEquals(3000, rows);
            HttpResponse<String> gone = client.get(uris.get(uris.size() - 3));
            assertEquals(410, gone.statusCode());
            assertEquals("gone", problemType(gone));
            assertEquals(404, client.get("/v1/statements/" + id + "/pages/99").statusCode());
            assertTrue(pageFiles() <= 2, "released pages are still on the disk");
        }
    }

    private static void assertConcurrentResponses(
            StatementApiClient client, String uri, String expected) throws Exception {
        List<CompletableFuture<HttpResponse<String>>> concurrentResponses = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            concurrentResponses.add(
                    client.httpClient()
                            .sendAsync(client.request(uri).GET().build(), BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> response : concurrentResponses) {
            assertEquals(expected, response.get().body());
        }
    }

    /** Returns the parts of a page that do not change; its state may change to finished. */
    private static String rowsAndNextUri(String body) throws Exception {
        return JSON.readTree(body).get("rows") + " " + JSON.readTree(body).path("nextUri");
    }

    // ---- Idempotency keys
    @Test
    void repeatedWriteWithTheSameIdempotencyKeyIsExecutedOnce() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with(httpSettings("(unpolled 20s)") + stateSettings())
                        .start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                HttpRequest.Builder builder =
                        client.request("/v1/statements?wait=20")
                                .header("Content-Type", "application/json")
                                .header("Idempotency-Key", "k1")
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                String.format(INSERT_REQUEST, "one", 200)));
                responses.add(
                        client.httpClient().sendAsync(builder.build(), BodyHandlers.ofString()));
            }
            String id = null;
            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertEquals(200, response.get().statusCode(), response.get().body());
                id = id == null ? json(response.get()).get("id").asText() : id;
                assertEquals(id, json(response.get()).get("id").asText());
            }
            assertEquals(id, json(postInsert(client, "one", 200, "k1")).get("id").asText());
            assertEquals(1, fleet.executions("one"));
            HttpResponse<String> otherResponse = postInsert(client, "two", 200, "k1");
            assertEquals(422, otherResponse.statusCode());
            assertEquals("key-reused", problemType(otherResponse));
            assertEquals(0, fleet.executions("two"));
            assertNotEquals(id, json(postInsert(client, "one", 200, "k2")).get("id").asText());
            assertEquals(2, fleet.executions("one"));
        }
    }

    private String stateSettings() {
        return "(state-dir \"" + directory.resolve("state") + "\")";
    }

    @Test
    void idempotencyKeyAfterARestartReportsTheKnownStateWithoutExecution() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with(httpSettings("") + stateSettings()).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            String served =
                    "/v1/statements/"
                            + json(postInsert(client, "done", 5, "served")).get("id").asText();
            CompletableFuture<HttpResponse<String>> interruptedResponse =
                    client.httpClient()
                            .sendAsync(
                                    client.request("/v1/statements?wait=20")
                                            .header("Content-Type", "application/json")
                                            .header("Idempotency-Key", "cut")
                                            .POST(
                                                    HttpRequest.BodyPublishers.ofString(
                                                            String.format(
                                                                    INSERT_REQUEST, "cut", 3000)))
                                            .build(),
                                    BodyHandlers.ofString());
            TestFleet.await(
                    "the statement to run",
                    () -> fleet.ledger().stream().anyMatch(entry -> entry.tag.equals("cut")));
            fleet.router.kill();
            interruptedResponse.handle((httpResponse, failure) -> null).get();
            fleet.start();
            StatementApiClient restartedClient = new StatementApiClient(fleet.router.httpAddress());
            HttpResponse<String> unknown = postInsert(restartedClient, "cut", 3000, "cut");
            assertEquals(502, unknown.statusCode());
            assertEquals("fate-unknown", problemType(unknown));
            HttpResponse<String> gone = postInsert(restartedClient, "done", 5, "served");
            assertEquals(410, gone.statusCode(), gone.body());
            assertTrue(json(gone).get("detail").asText().contains("was served"));
            assertEquals(410, restartedClient.get(served).statusCode());
            assertEquals(1, fleet.executions("done"));
            assertTrue(
                    fleet.ledger().stream().filter(entry -> entry.tag.equals("cut")).count() == 1,
                    "the statement was sent again");
        }
    }

    @Test
    void idempotencyKeyOfARejectedStatementIsReusable() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with(httpSettings("") + stateSettings()).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            fleet.engine("q1").faults().breakAt(Place.QUERY, Break.CLOSE, 1000);
            HttpRequest.Builder builder =
                    client.request("/v1/statements?wait=20&max_execution_time=1")
                            .header("Content-Type", "application/json")
                            .header("Idempotency-Key", "k")
                            .POST(
                                    HttpRequest.BodyPublishers.ofString(
                                            String.format(INSERT_REQUEST, "r", 5)));
            HttpResponse<String> rejected = client.send(builder);
            assertEquals(503, rejected.statusCode(), rejected.body());
            fleet.engine("q1").faults().heal();
            TestFleet.await(
                    "the statement to be served with the same key",
                    () -> {
                        try {
                            return client.send(builder).statusCode() == 200;
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
            assertEquals(1, fleet.executions("r"));
        }
    }

    // ---- Spool
    @Test
    void resultLargerThanTheSpoolLimitIsPausedUntilItIsFetched() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with(
                                spoolSettings("(spool-statement 256KiB)")
                                        .replace("(page 4KiB)", "(page 64KiB)"))
                        .start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            HttpResponse<String> httpResponse =
                    client.post(
                            selectStatement("rows=500 blocks=400 width=100 work_ms=1"),
                            "?wait=10&ashlink_class=bericht");
            long rows = json(httpResponse).get("rows").size();
            long maxSpooledBytes = 0;
            while (json(httpResponse).has("nextUri")) {
                maxSpooledBytes = Math.max(maxSpooledBytes, fleet.router.http().spooledBytes());
                httpResponse = client.get(json(httpResponse).get("nextUri").asText() + "?wait=10");
                assertTrue(
                        httpResponse.statusCode() == 200 || httpResponse.statusCode() == 202,
                        httpResponse.body());
                rows += json(httpResponse).path("rows").size();
            }
            assertEquals(200_000, rows);
            assertTrue(
                    maxSpooledBytes > 0 && maxSpooledBytes <= 256 << 10,
                    maxSpooledBytes + " bytes spooled; at most 256 KiB of a result of 20 MB");
        }
    }

    @Test
    void spoolFailureEndsTheStatementWithAnErrorAndOthersContinue() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(spoolSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            Files.delete(directory.resolve("spool").resolve("r1.lock"));
            Files.delete(directory.resolve("spool"));
            HttpResponse<String> httpResponse =
                    client.post(selectStatement("rows=500 blocks=6 tag=lost"), "?wait=10");
            assertEquals(507, httpResponse.statusCode(), httpResponse.body());
            assertEquals("result-lost", problemType(httpResponse));
            assertTrue(json(httpResponse).get("mayHaveRun").asBoolean());
            assertEquals(0, fleet.router.http().spooledBytes());
            Files.createDirectory(directory.resolve("spool"));
            assertEquals(
                    200,
                    client.post(selectStatement("rows=500 blocks=6"), "?wait=10").statusCode());
            assertEquals(1, fleet.executions("lost"));
        }
    }

    @Test
    void spoolOfACrashedRouterIsCleanedWithoutTouchingOtherFiles() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(spoolSettings("(kept 1h)")).start()) {
            postLargeSelect(fleet);
            Files.write(directory.resolve("spool").resolve("r2.b1.abc.0.page"), new byte[9]);
            Files.write(directory.resolve("spool").resolve("notes.txt"), new byte[9]);
            long filesBefore = pageFiles();
            assertTrue(filesBefore > 2);
            fleet.router.kill();
            assertEquals(filesBefore, pageFiles(), "a crashed router must leave its spool files");
            Thread.sleep(2); // a later start time for the restarted router
            fleet.start();
            TestFleet.await(
                    "only the page of the other router to remain",
                    () -> {
                        try {
                            return pageFiles() == 1;
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
            assertTrue(
                    Files.exists(directory.resolve("spool").resolve("r2.b1.abc.0.page"))
                            && Files.exists(directory.resolve("spool/notes.txt")));
        }
    }

    private static void postLargeSelect(TestFleet fleet) throws Exception {
        new StatementApiClient(fleet.router.httpAddress())
                .post(selectStatement("rows=500 blocks=6"), "?wait=10");
    }

    // ---- DELETE
    @Test
    void deleteDuringTheResponseLeavesOneFinalStateAndNoSpooledBytes() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(spoolSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            for (int i = 0; i < 60; i++) {
                String uri =
                        statementUri(
                                client.post(
                                        selectStatement(
                                                "tag=x" + i + " rows=300 blocks=3 work_ms=1"),
                                        ""));
                Thread.sleep(i % 8);
                HttpResponse<String> deleted = client.delete(uri);
                assertEquals(200, deleted.statusCode(), deleted.body());
                String state = json(deleted).get("state").asText();
                assertTrue(state.equals("cancelled") || state.equals("finished"), state);
                assertEquals(200, client.delete(uri).statusCode(), "a repeated DELETE failed");
                HttpResponse<String> page = client.get(uri + "/pages/0");
                assertTrue(page.statusCode() == 409 || page.statusCode() == 410, page.body());
            }
            TestFleet.await(
                    "all resources to be released",
                    () ->
                            fleet.router.http().openStatements() == 0
                                    && fleet.router.http().spooledBytes() == 0
                                    && fleet.router.core().openRequests() == 0);
            assertEquals(0, pageFiles());
            for (int i = 0; i < 60; i++) {
                assertTrue(fleet.executions("x" + i) <= 1);
            }
        }
    }

    @Test
    void cancelledWriteMayHaveRunAndIsNotRetried() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a", "q2:typ-a").with(httpSettings("")).start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            HttpRequest.Builder builder =
                    client.request("/v1/statements")
                            .header("Content-Type", "application/json")
                            .POST(
                                    HttpRequest.BodyPublishers.ofString(
                                            String.format(INSERT_REQUEST, "l", 400)));
            String uri = json(client.send(builder)).get("infoUri").asText();
            TestFleet.await(
                    "the statement to run",
                    () -> fleet.ledger().stream().anyMatch(entry -> entry.tag.equals("l")));
            assertEquals("cancelled", json(client.delete(uri)).get("state").asText());
            HttpResponse<String> page = client.get(uri + "/pages/0");
            assertEquals(409, page.statusCode());
            assertTrue(json(page).get("mayHaveRun").asBoolean());
            Thread.sleep(600);
            assertEquals(1, fleet.ledger().stream().filter(entry -> entry.tag.equals("l")).count());
        }
    }

    // ---- Restart, peers, stop
    @Test
    void statementOfAPeerIsRedirectedAndAnUnknownOneIsNotFound() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with(httpSettings("(peer r2 (url \"http://127.0.0.1:9\"))"))
                        .start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            HttpResponse<String> otherResponse = client.get("/v1/statements/r2~abc/pages/3?wait=1");
            assertEquals(307, otherResponse.statusCode());
            assertEquals(
                    "http://127.0.0.1:9/v1/statements/r2~abc/pages/3?wait=1",
                    otherResponse.headers().firstValue("Location").orElse(""));
            assertEquals(404, client.get("/v1/statements/r3~abc").statusCode());
            String uri = json(client.post(selectStatement("rows=1"), "?wait=5")).get("id").asText();
            fleet.router.kill();
            fleet.start();
            assertEquals(
                    404,
                    new StatementApiClient(fleet.router.httpAddress())
                            .get("/v1/statements/" + uri)
                            .statusCode());
        }
    }

    @Test
    void stoppingRouterAnswersWaitingClientsAndRejectsNewStatements() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with(httpSettings("") + "(bounds (stop 2s))").start()) {
            StatementApiClient client = new StatementApiClient(fleet.router.httpAddress());
            String slowUri =
                    json(client.post(selectStatement("rows=3 work_ms=500"), ""))
                            .get("nextUri")
                            .asText();
            CompletableFuture<HttpResponse<String>> waitingResponse =
                    getAsync(client, slowUri + "?wait=20");
            String unpolledUri =
                    json(client.post(selectStatement("rows=3 work_ms=1"), ""))
                            .get("nextUri")
                            .asText();
            CompletableFuture<Void> stop = stopAsync(fleet);
            TestFleet.await(
                    "new statements to be rejected",
                    () -> {
                        try {
                            return client.post(selectStatement("rows=1"), "").statusCode() == 503;
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
            assertEquals(
                    200, waitingResponse.get().statusCode(), "the waiting client got no result");
            CompletableFuture<HttpResponse<String>> missingPageResponse =
                    getAsync(client, unpolledUri.replaceAll("[0-9]+$", "1") + "?wait=20");
            assertTrue(
                    missingPageResponse
                            .handle(
                                    (httpResponse, failure) ->
                                            httpResponse == null
                                                    || httpResponse.statusCode() != 200)
                            .get(),
                    "a missing page was served");
            stop.get();
        }
    }

    private static CompletableFuture<HttpResponse<String>> getAsync(
            StatementApiClient client, String uri) {
        return client.httpClient()
                .sendAsync(client.request(uri).GET().build(), BodyHandlers.ofString());
    }

    private static CompletableFuture<Void> stopAsync(TestFleet fleet) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        fleet.router.stop();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
