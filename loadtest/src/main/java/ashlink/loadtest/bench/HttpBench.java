package ashlink.loadtest.bench;

import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.io.BufferedInputStream;
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
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Compares the native protocol and the HTTP statement API of one router in the same run. Clients,
 * router and engines share this process.
 */
public final class HttpBench {

    private static final long S = 1_000_000_000L;
    private static final int ROUNDS = 5;
    private static final int POLLS = 5_000;
    private static final int WAITING = 2_000;
    private static final String SHORT = "SELECT /* sim work_ms=0.001 */ 1";
    private static final String LARGE =
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
        EmulatedEngine engine = Figures.engine("q1");
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
        URI server = URI.create("http://127.0.0.1:" + router.httpAddress().getPort());
        closed(router, server, 1);
        closed(router, server, 16);
        large(router, server);
        engine.hang(true);
        polls(router, server);
        waiting(router, server);
        router.kill();
        engine.crash();
        try (Stream<Path> files = Files.walk(spool)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void closed(Router router, URI server, int connections)
            throws IOException, InterruptedException {
        double[] natives = new double[ROUNDS];
        double[] https = new double[ROUNDS];
        double[] nativeMedian = new double[ROUNDS];
        double[] httpMedian = new double[ROUNDS];
        double[] ratio = new double[ROUNDS];
        for (int i = -1; i < ROUNDS; i++) {
            Loads.Seen seen = Loads.closed(router.address(), connections, x -> SHORT, roundNs);
            Histogram times = new ConcurrentHistogram(60 * S, 3);
            double perSecond = http(server, connections, times);
            if (i >= 0) {
                natives[i] = seen.perSecond();
                https[i] = perSecond;
                ratio[i] = perSecond / seen.perSecond();
                nativeMedian[i] = seen.times().getValueAtPercentile(50) / 1e3;
                httpMedian[i] = times.getValueAtPercentile(50) / 1e3;
            }
        }
        out.printf(
                "closed load, %d connections, short query: native %.0f/s median %.0f us, HTTP"
                        + " %.0f/s median %.0f us; HTTP over native %.2f [%.2f..%.2f]%n",
                connections,
                Figures.median(natives),
                Figures.median(nativeMedian),
                Figures.median(https),
                Figures.median(httpMedian),
                Figures.median(ratio),
                Figures.least(ratio),
                Figures.most(ratio));
    }

    /**
     * Sends requests over plain sockets, because the JDK's HTTP client uses several times the CPU
     * of the server that is measured.
     */
    private double http(URI server, int connections, Histogram times) throws InterruptedException {
        byte[] request =
                ("POST /v1/statements?wait=10 HTTP/1.1\r\n"
                                + "Host: a\r\n"
                                + "Content-Type: text/plain\r\n"
                                + "Content-Length: "
                                + SHORT.length()
                                + "\r\n\r\n"
                                + SHORT)
                        .getBytes(StandardCharsets.US_ASCII);
        CountDownLatch done = new CountDownLatch(connections);
        long from = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try (Socket socket = new Socket("127.0.0.1", server.getPort())) {
                                    socket.setTcpNoDelay(true);
                                    InputStream in =
                                            new BufferedInputStream(socket.getInputStream());
                                    while (System.nanoTime() - from < roundNs) {
                                        long at = System.nanoTime();
                                        socket.getOutputStream().write(request);
                                        if (answer(in)) {
                                            times.recordValue(System.nanoTime() - at);
                                        }
                                    }
                                } catch (IOException e) {
                                    out.println("  connection failed: " + e);
                                } finally {
                                    done.countDown();
                                }
                            },
                            "http-load");
            thread.setDaemon(true);
            thread.start();
        }
        done.await();
        return times.getTotalCount() * (double) S / (System.nanoTime() - from);
    }

    /** Reads a response; returns true if it has status 200. */
    private static boolean answer(InputStream in) throws IOException {
        boolean good = line(in).contains(" 200");
        int length = 0;
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            if (l.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(l.substring(15).trim());
            }
        }
        return in.readNBytes(length).length == length && good;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("connection closed within an HTTP response");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    /** Transfers a result of 1 GiB over the native protocol, and as CSV pages through the spool. */
    private void large(Router router, URI server) throws IOException, InterruptedException {
        double[] natives = new double[3];
        double[] pages = new double[3];
        long count = 0;
        long most = 0;
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int i = 0; i < 3; i++) {
            try (NativeClient nativeClient = NativeClient.connect(router.address(), "portal")) {
                long from = System.nanoTime();
                Reply reply = nativeClient.query("", LARGE, Map.of(), 60 * S);
                natives[i] = reply.bytes() / (double) (1 << 20) / ((reply.endNs() - from) / 1e9);
            }
            long from = System.nanoTime();
            long bytes = 0;
            count = 0;
            HttpRequest.Builder next =
                    HttpRequest.newBuilder(
                                    server.resolve(
                                            "/v1/statements?wait=60&max_execution_time=60"
                                                    + "&ashlink_class=bericht"))
                            .POST(HttpRequest.BodyPublishers.ofString(LARGE));
            while (next != null) {
                HttpResponse<byte[]> httpResponse =
                        client.send(
                                next.header("Accept", "text/csv").build(),
                                BodyHandlers.ofByteArray());
                if (httpResponse.statusCode() != 200) {
                    throw new IOException(
                            "unexpected HTTP status "
                                    + httpResponse.statusCode()
                                    + ": "
                                    + new String(httpResponse.body(), StandardCharsets.UTF_8));
                }
                bytes += httpResponse.body().length;
                count++;
                most = Math.max(most, router.http().spooledBytes());
                String link = httpResponse.headers().firstValue("Link").orElse("");
                next =
                        link.isEmpty()
                                ? null
                                : HttpRequest.newBuilder(
                                        server.resolve(
                                                link.substring(1, link.indexOf('>')) + "?wait=60"));
            }
            pages[i] = bytes / (double) (1 << 20) / ((System.nanoTime() - from) / 1e9);
        }
        out.printf(
                "result of 1 GiB: native %.0f MiB/s, %d pages of CSV %.0f MiB/s, ratio %.2f; at"
                        + " most %d MiB in the spool%n",
                Figures.median(natives),
                count,
                Figures.median(pages),
                Figures.median(pages) / Figures.median(natives),
                most >> 20);
    }

    /** Measures the heap of running statements that no client polls. */
    private void waiting(Router router, URI server) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        System.gc();
        long heap = Figures.used();
        for (int i = 0; i < WAITING; i++) {
            client.send(
                    HttpRequest.newBuilder(server.resolve("/v1/statements?ashlink_class=bericht"))
                            .POST(HttpRequest.BodyPublishers.ofString(SHORT))
                            .build(),
                    BodyHandlers.discarding());
        }
        System.gc();
        out.printf(
                "%d waiting statements: heap %.1f KiB each%n",
                router.http().openStatements(), (Figures.used() - heap) / 1024.0 / WAITING);
    }

    /**
     * Measures long polls of one statement, each on its own connection: threads and CPU while they
     * wait, and the time until all are answered after the statement has ended.
     */
    private void polls(Router router, URI server) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        String body =
                client.send(
                                HttpRequest.newBuilder(
                                                server.resolve(
                                                        "/v1/statements?ashlink_class=bericht"))
                                        .POST(HttpRequest.BodyPublishers.ofString(SHORT))
                                        .build(),
                                BodyHandlers.ofString())
                        .body();
        String id = body.replaceAll(".*\"id\":\"([^\"]+)\".*", "$1");
        int threads = Thread.activeCount();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < POLLS; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", server.getPort()));
            socket.getOutputStream()
                    .write(
                            ("GET /v1/statements/"
                                            + id
                                            + "/pages/0?wait=500 HTTP/1.1\r\nHost: a\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            sockets.add(socket);
        }
        Thread.sleep(1_000);
        int more = Thread.activeCount() - threads;
        long cpu = Figures.cpuNs();
        Thread.sleep(5_000);
        double share = (Figures.cpuNs() - cpu) / 5e9;
        cpu = Figures.cpuNs();
        long from = System.nanoTime();
        client.send(
                HttpRequest.newBuilder(server.resolve("/v1/statements/" + id)).DELETE().build(),
                BodyHandlers.discarding());
        int answered = 0;
        for (Socket socket : sockets) {
            InputStream in = socket.getInputStream();
            answered +=
                    new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 409")
                            ? 1
                            : 0;
        }
        out.printf(
                "%d long polls of one statement: %d more threads, %.1f%% of a core while they wait"
                    + " (with %d running statements); %d answered %.0f ms after its end, with %.0f"
                    + " ms of CPU%n",
                POLLS,
                more,
                share * 100,
                router.http().openStatements(),
                answered,
                (System.nanoTime() - from) / 1e6,
                (Figures.cpuNs() - cpu) / 1e6);
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
