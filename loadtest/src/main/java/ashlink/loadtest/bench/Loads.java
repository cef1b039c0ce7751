package ashlink.loadtest.bench;

import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Generates closed-loop and open-loop load. */
final class Loads {

    /** The result of a load run; response times in nanoseconds. */
    record Seen(double perSecond, Histogram times, long failed, String failure) {}

    private static final long S = 1_000_000_000L;
    private static final long LONGEST_NS = 60 * S;

    private Loads() {}

    /**
     * Closed loop: each connection sends its next statement as soon as the last one is answered.
     */
    static Seen closed(
            InetSocketAddress to, int connections, LongFunction<String> statements, long forNs)
            throws IOException, InterruptedException {
        return run(List.of(to), connections, statements, forNs, 0);
    }

    /** Open loop at a fixed total rate; response times start at the scheduled send time. */
    static Seen open(
            List<InetSocketAddress> to, int connections, String statement, long forNs, double rate)
            throws IOException, InterruptedException {
        return run(to, connections, n -> statement, forNs, rate);
    }

    private static Seen run(
            List<InetSocketAddress> to,
            int connections,
            LongFunction<String> statements,
            long forNs,
            double rate)
            throws IOException, InterruptedException {
        Histogram times = new ConcurrentHistogram(LONGEST_NS, 3);
        AtomicLong failed = new AtomicLong();
        AtomicReference<String> failure = new AtomicReference<>("");
        AtomicLong due = new AtomicLong();
        AtomicLong sent = new AtomicLong();
        CountDownLatch done = new CountDownLatch(connections);
        List<NativeClient> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            clients.add(NativeClient.connect(to.get(i % to.size()), "portal"));
        }
        long from = System.nanoTime();
        for (NativeClient nativeClient : clients) {
            Thread thread =
                    new Thread(
                            null,
                            () -> {
                                try (nativeClient) {
                                    while (true) {
                                        long at =
                                                rate > 0
                                                        ? from
                                                                + (long)
                                                                        (due.getAndIncrement()
                                                                                / rate
                                                                                * S)
                                                        : System.nanoTime();
                                        if (at - from >= forNs) {
                                            return;
                                        }
                                        pause(at);
                                        Reply reply =
                                                nativeClient.query(
                                                        "",
                                                        statements.apply(sent.getAndIncrement()),
                                                        Map.of(),
                                                        30 * S);
                                        if (reply.kind() == Reply.Kind.SERVED) {
                                            times.recordValue(
                                                    Math.min(
                                                            LONGEST_NS,
                                                            Math.max(1, reply.endNs() - at)));
                                        } else {
                                            failed.incrementAndGet();
                                            failure.set(reply.kind() + " " + reply.message());
                                        }
                                    }
                                } finally {
                                    done.countDown();
                                }
                            },
                            "load",
                            256 << 10);
            thread.setDaemon(true);
            thread.start();
        }
        done.await();
        return new Seen(
                times.getTotalCount() * (double) S / (System.nanoTime() - from),
                times,
                failed.get(),
                failure.get());
    }

    private static void pause(long until) {
        long left = until - System.nanoTime();
        if (left > 0) {
            try {
                Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
