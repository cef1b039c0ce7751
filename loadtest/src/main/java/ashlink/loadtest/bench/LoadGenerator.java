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
final class LoadGenerator {

    /** The result of a load run; response times in nanoseconds. */
    record Result(
            double requestsPerSecond, Histogram responseTimes, long failed, String lastFailure) {}

    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_RESPONSE_TIME_NS = 60 * NS_PER_SECOND;

    private final LongFunction<String> statements;
    private final long durationNs;
    private final double ratePerSecond;
    private final Histogram responseTimes = new ConcurrentHistogram(MAX_RESPONSE_TIME_NS, 3);
    private final AtomicLong failed = new AtomicLong();
    private final AtomicReference<String> lastFailure = new AtomicReference<>("");
    private final AtomicLong scheduled = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final long startNs = System.nanoTime();

    private LoadGenerator(LongFunction<String> statements, long durationNs, double ratePerSecond) {
        this.statements = statements;
        this.durationNs = durationNs;
        this.ratePerSecond = ratePerSecond;
    }

    /**
     * Closed loop: each connection sends its next statement as soon as the last one is answered.
     */
    static Result closedLoop(
            InetSocketAddress address,
            int connections,
            LongFunction<String> statements,
            long durationNs)
            throws IOException, InterruptedException {
        return run(List.of(address), connections, statements, durationNs, 0);
    }

    /** Open loop at a fixed total rate; response times start at the scheduled send time. */
    static Result openLoop(
            List<InetSocketAddress> addresses,
            int connections,
            String statement,
            long durationNs,
            double ratePerSecond)
            throws IOException, InterruptedException {
        return run(addresses, connections, number -> statement, durationNs, ratePerSecond);
    }

    private static Result run(
            List<InetSocketAddress> addresses,
            int connections,
            LongFunction<String> statements,
            long durationNs,
            double ratePerSecond)
            throws IOException, InterruptedException {
        List<NativeClient> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            clients.add(NativeClient.connect(addresses.get(i % addresses.size()), "portal"));
        }
        LoadGenerator generator = new LoadGenerator(statements, durationNs, ratePerSecond);
        CountDownLatch done = new CountDownLatch(connections);
        for (NativeClient nativeClient : clients) {
            Thread thread =
                    new Thread(
                            null,
                            () -> {
                                try (nativeClient) {
                                    generator.sendQueries(nativeClient);
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
        return generator.result();
    }

    private void sendQueries(NativeClient nativeClient) {
        while (true) {
            long requestStartNs =
                    ratePerSecond > 0
                            ? startNs
                                    + (long)
                                            (scheduled.getAndIncrement()
                                                    / ratePerSecond
                                                    * NS_PER_SECOND)
                            : System.nanoTime();
            if (requestStartNs - startNs >= durationNs) {
                return;
            }
            sleepUntil(requestStartNs);
            Reply reply =
                    nativeClient.query(
                            "",
                            statements.apply(sent.getAndIncrement()),
                            Map.of(),
                            30 * NS_PER_SECOND);
            if (reply.kind() == Reply.Kind.SERVED) {
                responseTimes.recordValue(
                        Math.min(
                                MAX_RESPONSE_TIME_NS, Math.max(1, reply.endNs() - requestStartNs)));
            } else {
                failed.incrementAndGet();
                lastFailure.set(reply.kind() + " " + reply.message());
            }
        }
    }

    private Result result() {
        return new Result(
                responseTimes.getTotalCount()
                        * (double) NS_PER_SECOND
                        / (System.nanoTime() - startNs),
                responseTimes,
                failed.get(),
                lastFailure.get());
    }

    private static void sleepUntil(long timeNs) {
        long remainingNs = timeNs - System.nanoTime();
        if (remainingNs > 0) {
            try {
                Thread.sleep(remainingNs / 1_000_000, (int) (remainingNs % 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
