package ashlink.loadtest.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;

/**
 * Generates closed-loop load over HTTP. The requests are sent over plain sockets, because the JDK's
 * HTTP client uses several times the CPU of the server that is measured.
 */
final class HttpLoadGenerator {

    private static final long NS_PER_SECOND = 1_000_000_000L;

    private final PrintStream out;
    private final int port;
    private final byte[] request;

    HttpLoadGenerator(PrintStream out, int port, String statement) {
        this.out = out;
        this.port = port;
        this.request =
                ("POST /v1/statements?wait=10 HTTP/1.1\r\n"
                                + "Host: a\r\n"
                                + "Content-Type: text/plain\r\n"
                                + "Content-Length: "
                                + statement.length()
                                + "\r\n\r\n"
                                + statement)
                        .getBytes(StandardCharsets.US_ASCII);
    }

    /** Records the response times and returns the requests per second. */
    double closedLoop(int connections, long durationNs, Histogram responseTimes)
            throws InterruptedException {
        CountDownLatch done = new CountDownLatch(connections);
        long startNs = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    sendRequests(startNs, durationNs, responseTimes);
                                } finally {
                                    done.countDown();
                                }
                            },
                            "http-load");
            thread.setDaemon(true);
            thread.start();
        }
        done.await();
        return responseTimes.getTotalCount()
                * (double) NS_PER_SECOND
                / (System.nanoTime() - startNs);
    }

    private void sendRequests(long startNs, long durationNs, Histogram responseTimes) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (System.nanoTime() - startNs < durationNs) {
                long requestStartNs = System.nanoTime();
                socket.getOutputStream().write(request);
                if (readResponse(in)) {
                    responseTimes.recordValue(System.nanoTime() - requestStartNs);
                }
            }
        } catch (IOException e) {
            out.println("  connection failed: " + e);
        }
    }

    /** Reads a response; returns true if it has status 200. */
    private static boolean readResponse(InputStream in) throws IOException {
        boolean ok = readLine(in).contains(" 200");
        int length = 0;
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            if (header.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        return in.readNBytes(length).length == length && ok;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection closed within an HTTP response");
            }
            if (next != '\r') {
                text.append((char) next);
            }
        }
        return text.toString();
    }
}
