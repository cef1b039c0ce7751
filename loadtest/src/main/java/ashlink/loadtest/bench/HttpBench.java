package ashlink.loadtest.bench;

import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Compares the native protocol and the HTTP statement API of one router in the same run. Clients,
 * router and engines share this process.
 */
public final class HttpBench {

    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final int ROUNDS = 5;
    private static final int LONG_POLLS = 5_000;
    private static final int WAITING_STATEMENTS = 2_000;
    private static final String SHORT_QUERY = "SELECT /* sim work_ms=0.001 */ 1";
    private static final String LARGE_QUERY =
            "SELECT /* sim work_ms=0.001 rows=1000 width=1035 blocks=1024 */ 1";

    private final PrintStream out;
    private final long roundNs;

    /** Creates a benchmark with rounds of the given duration. */
    public HttpBench(PrintStream out, long roundNs) {
        this.out = out;
        this.roundNs = roundNs;
    }

    /** Runs all measurements and prints the results. */
    public void run() throws IOException, InterruptedException {
        EmulatedEngine engine = BenchSupport.startEngine("q1");
        Path spool = Files.createTempDirectory("ashlink-bench");
        Router router =
                new Router(
                        TestSettings.of(
                                "r1",
                                "halle-1",
                                0,
                                1,
                                1,
                                0,
                                List.of(engine),
                                "(limits (drain-grace 2s))"
                                        + "(http (listen 127.0.0.1:0) (spool \""
                                        + spool
                                        + "\") (unpolled 10m) (idle 10m) (longest-wait 9m))"));
        router.start();
        URI serverUri = URI.create("http://127.0.0.1:" + router.httpAddress().getPort());
        measureClosedLoop(router, serverUri, 1);
        measureClosedLoop(router, serverUri, 16);
        measureLargeResult(router, serverUri);
        engine.hang(true);
        measureLongPolls(router, serverUri);
        measureWaitingStatements(router, serverUri);
        router.kill();
        engine.crash();
        try (Stream<Path> files = Files.walk(spool)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void measureClosedLoop(Router router, URI serverUri, int connections)
            throws IOException, InterruptedException {
        double[] nativeRates = new double[ROUNDS];
        double[] httpRates = new double[ROUNDS];
        double[] nativeMedian = new double[ROUNDS];
        double[] httpMedian = new double[ROUNDS];
        double[] ratio = new double[ROUNDS];
        for (int i = -1; i < ROUNDS; i++) {
            LoadGenerator.Result result =
                    LoadGenerator.closedLoop(
                            router.address(), connections, number -> SHORT_QUERY, roundNs);
            Histogram responseTimes = new ConcurrentHistogram(60 * NS_PER_SECOND, 3);
            double requestsPerSecond =
                    new HttpLoadGenerator(out, serverUri.getPort(), SHORT_QUERY)
                            .closedLoop(connections, roundNs, responseTimes);
            if (i >= 0) {
                nativeRates[i] = result.requestsPerSecond();
                httpRates[i] = requestsPerSecond;
                ratio[i] = requestsPerSecond / result.requestsPerSecond();
                nativeMedian[i] = result.responseTimes().getValueAtPercentile(50) / 1e3;
                httpMedian[i] = responseTimes.getValueAtPercentile(50) / 1e3;
            }
        }
        out.printf(
                "closed load, %d connections, short query: native %.0f/s median %.0f us, HTTP"
                        + " %.0f/s median %.0f us; HTTP over native %.2f [%.2f..%.2f]%n",
                connections,
                BenchSupport.median(nativeRates),
                BenchSupport.median(nativeMedian),
                BenchSupport.median(httpRates),
                BenchSupport.median(httpMedian),
                BenchSupport.median(ratio),
                BenchSupport.min(ratio),
                BenchSupport.max(ratio));
    }

    /** Transfers a result of 1 GiB over the native protocol, and as CSV pages through the spool. */
    private void measureLargeResult(Router router, URI serverUri)
            throws IOException, InterruptedException {
        double[] nativeRates = new double[3];
        double[] httpRates = new double[3];
        long pageCount = 0;
        long maxSpooledBytes = 0;
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int i = 0; i < 3; i++) {
            nativeRates[i] = nativeTransferRate(router);
            long startNs = System.nanoTime();
            long bytes = 0;
            pageCount = 0;
            HttpRequest.Builder next =
                    HttpRequest.newBuilder(
                                    serverUri.resolve(
                                            "/v1/statements?wait=60&max_execution_time=60"
                                                    + "&ashlink_class=bericht"))
                            .POST(HttpRequest.BodyPublishers.ofString(LARGE_QUERY));
            while (next != null) {
                HttpResponse<byte[]> httpResponse = fetchPage(client, next);
                bytes += httpResponse.body().length;
                pageCount++;
                maxSpooledBytes = Math.max(maxSpooledBytes, router.http().spooledBytes());
                next = nextPage(serverUri, httpResponse);
            }
            httpRates[i] = bytes / (double) (1 << 20) / ((System.nanoTime() - startNs) / 1e9);
        }
        out.printf(
                "result of 1 GiB: native %.0f MiB/s, %d pages of CSV %.0f MiB/s, ratio %.2f; at"
                        + " most %d MiB in the spool%n",
                BenchSupport.median(nativeRates),
                pageCount,
                BenchSupport.median(httpRates),
                BenchSupport.median(httpRates) / BenchSupport.median(nativeRates),
                maxSpooledBytes >> 20);
    }

    private static double nativeTransferRate(Router router) throws IOException {
        try (NativeClient nativeClient = NativeClient.connect(router.address(), "portal")) {
            long startNs = System.nanoTime();
            Reply reply = nativeClient.query("", LARGE_QUERY, Map.of(), 60 * NS_PER_SECOND);
            return reply.bytes() / (double) (1 << 20) / ((reply.endNs() - startNs) / 1e9);
        }
    }

    private static HttpResponse<byte[]> fetchPage(HttpClient client, HttpRequest.Builder page)
            throws IOException, InterruptedException {
        HttpResponse<byte[]> httpResponse =
                client.send(page.header("Accept", "text/csv").build(), BodyHandlers.ofByteArray());
        if (httpResponse.statusCode() != 200) {
            throw new IOException(
                    "unexpected HTTP status "
                            + httpResponse.statusCode()
                            + ": "
                            + new String(httpResponse.body(), StandardCharsets.UTF_8));
        }
        return httpResponse;
    }

    private static HttpRequest.Builder nextPage(URI serverUri, HttpResponse<byte[]> httpResponse) {
        String link = httpResponse.headers().firstValue("Link").orElse("");
        return link.isEmpty()
                ? null
                : HttpRequest.newBuilder(
                        serverUri.resolve(link.substring(1, link.indexOf('>')) + "?wait=60"));
    }

    /** Measures the heap of running statements that no client polls. */
    private void measureWaitingStatements(Router router, URI serverUri)
            throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        System.gc();
        long heapBytes = BenchSupport.heapUsedBytes();
        for (int i = 0; i < WAITING_STATEMENTS; i++) {
            client.send(
                    HttpRequest.newBuilder(
                                    serverUri.resolve("/v1/statements?ashlink_class=bericht"))
                            .POST(HttpRequest.BodyPublishers.ofString(SHORT_QUERY))
                            .build(),
                    BodyHandlers.discarding());
        }
        System.gc();
        out.printf(
                "%d waiting statements: heap %.1f KiB each%n",
                router.http().openStatements(),
                (BenchSupport.heapUsedBytes() - heapBytes) / 1024.0 / WAITING_STATEMENTS);
    }

    /**
     * Measures long polls of one statement, each on its own connection: threads and CPU while they
     * wait, and the time until all are answered after the statement has ended.
     */
    private void measureLongPolls(Router router, URI serverUri)
            throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        String id = postStatement(client, serverUri);
        int threads = Thread.activeCount();
        List<Socket> sockets = openLongPolls(serverUri, id);
        Thread.sleep(1_000);
        int addedThreads = Thread.activeCount() - threads;
        long cpuNs = BenchSupport.processCpuNs();
        Thread.sleep(5_000);
        double cpuFraction = (BenchSupport.processCpuNs() - cpuNs) / 5e9;
        cpuNs = BenchSupport.processCpuNs();
        long startNs = System.nanoTime();
        client.send(
                HttpRequest.newBuilder(serverUri.resolve("/v1/statements/" + id)).DELETE().build(),
                BodyHandlers.discarding());
        int answered = countAnswered(sockets);
        out.printf(
                "%d long polls of one statement: %d more threads, %.1f%% of a core while they wait"
                    + " (with %d running statements); %d answered %.0f ms after its end, with %.0f"
                    + " ms of CPU%n",
                LONG_POLLS,
                addedThreads,
                cpuFraction * 100,
                router.http().openStatements(),
                answered,
                (System.nanoTime() - startNs) / 1e6,
                (BenchSupport.processCpuNs() - cpuNs) / 1e6);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static String postStatement(HttpClient client, URI serverUri)
            throws IOException, InterruptedException {
        String body =
                client.send(
                                HttpRequest.newBuilder(
                                                serverUri.resolve(
                                                        "/v1/statements?ashlink_class=bericht"))
                                        .POST(HttpRequest.BodyPublishers.ofString(SHORT_QUERY))
                                        .build(),
                                BodyHandlers.ofString())
                        .body();
        return body.replaceAll(".*\"id\":\"([^\"]+)\".*", "$1");
    }

    private static List<Socket> openLongPolls(URI serverUri, String id) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < LONG_POLLS; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", serverUri.getPort()));
            socket.getOutputStream()
                    .write(
                            ("GET /v1/statements/"
                                            + id
                                            + "/pages/0?wait=500 HTTP/1.1\r\nHost: a\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            sockets.add(socket);
        }
        return sockets;
    }

    private static int countAnswered(List<Socket> sockets) throws IOException {
        int answered = 0;
        for (Socket socket : sockets) {
            InputStream in = socket.getInputStream();
            answered +=
                    new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 409")
                            ? 1
                            : 0;
        }
        return answered;
    }
}
