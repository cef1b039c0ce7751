package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Bad clients open hundreds of connections and say nothing, while usual clients send requests on theirs. */
final class SilentClients extends Case {

    /** The limits of the example on the deployment page. */
    private static final int MEMORY_MB = 2048;

    private static final int SOCKETS = 4096;

    /** Under a third of the descriptor limit, which is what clients hold at most. */
    private static final int USUAL_CONNECTIONS = 1300;

    private static final int SILENT_CONNECTIONS = 900;

    /** Usual clients close connections after 4 s idle; these send before. */
    private static final long ROUND_MS = 3_800;

    private static final int SENDERS = 10;
    private static final long LATE_SLACK_MS = 500 + 50;
    private static final long CROSSING_MS = 50;

    private volatile boolean silentOver;
    private volatile int silentOpened;

    public static void main(String[] args) {
        run(new SilentClients(), args);
    }

    @Override
    boolean play() throws Exception {
        List<Engine> engines = new ArrayList<>();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Engine engine = new Engine("s-0000000" + (i + 1), record, (lane, statement) -> lane.equals("ladung") ? 300 : 40);
            engines.add(engine);
            hosts.add(Journal.host(engine, "halle-" + (i % 3 + 1), i % 2 == 0 ? "typ-a" : "typ-b", 2, "in_service"));
        }
        String first = Journal.event(1, true, String.join(",", hosts));
        Journal journal = new Journal(record, first);
        RouterProcess router =
                register(new RouterProcess(root, temporary, journal.address(), first, MEMORY_MB, SOCKETS, SETTINGS));
        router.start(record);

        ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
        long startMs = Record.nowMs() + 200;
        List<Thread> senders = new ArrayList<>();
        for (int s = 0; s < SENDERS; s++) {
            int sender = s;
            senders.add(Daemons.start(() -> sendRounds(router.port, sender, startMs, sent)));
        }
        // A round in which the usual clients connect, one more without the disruption, two with it, one behind it.
        Daemons.pause(startMs + 2 * ROUND_MS - Record.nowMs());
        record.say("bad clients begin: up to " + SILENT_CONNECTIONS + " connections at a time, without a byte");
        if (trouble) {
            Daemons.start(() -> holdSilent(router.port));
        }
        Daemons.pause(startMs + 4 * ROUND_MS - Record.nowMs());
        silentOver = true;
        for (Thread sender : senders) {
            sender.join();
        }
        return judge(router, sent);
    }

    private record Sent(Client client, Client.Request request, boolean alone) {}

    private boolean judge(RouterProcess router, ConcurrentLinkedQueue<Sent> sent) throws Exception {
        long endMs = sent.stream().mapToLong(s -> s.request.writtenMs + s.request.waitMs).max().orElse(0) + LATE_SLACK_MS;
        Daemons.pause(endMs - Record.nowMs());
        int served = 0;
        int refusedOrFailed = 0;
        int late = 0;
        int none = 0;
        int crossed = 0;
        for (Sent each : sent) {
            Client.Request request = each.request;
            Client.Answer answer;
            try {
                answer = request.answer.get(1, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                answer = null;
            }
            if (answer != null && !answer.isWhole() && each.alone && answer.atMs() <= request.writtenMs + CROSSING_MS) {
                crossed++; // may cross the close of a connection without open requests: goes again elsewhere
            } else if (answer == null || !answer.isWhole()) {
                none++;
                record.log("lost: no answer to " + request.id + " " + request.queryClass + " written at " + request.writtenMs);
            } else if (answer.atMs() > request.writtenMs + request.waitMs + LATE_SLACK_MS) {
                late++;
                record.log("lost: answer to " + request.id + " " + request.queryClass + " written at " + request.writtenMs
                        + " after " + (answer.atMs() - request.writtenMs) + " ms, its time is " + request.waitMs + " ms");
            } else if (answer.code() == Client.SERVED) {
                served++;
            } else {
                refusedOrFailed++;
            }
        }
        record.say("connections of bad clients: " + silentOpened + " in all");
        record.say("usual clients: " + sent.size() + " requests: " + served + " served, " + refusedOrFailed
                + " refused or failed in time, " + late + " answered more than 0.5 s after their time, " + none
                + " without an answer, " + crossed + " crossed a close");
        long errors = router.log().lines().filter(line -> line.contains("OutOfMemoryError")).count();
        record.say("lines in the router's log with OutOfMemoryError: " + errors);
        return late + none > 0;
    }

    private void sendRounds(int port, int sender, long startMs, ConcurrentLinkedQueue<Sent> sent) {
        int count = USUAL_CONNECTIONS / SENDERS;
        Client[] clients = new Client[count];
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < count; i++) {
                Daemons.pause(startMs + round * ROUND_MS + i * ROUND_MS / count - Record.nowMs());
                try {
                    if (round == 0) {
                        clients[i] = new Client("u" + sender + "-" + i, port, record);
                    }
                    Client client = clients[i];
                    if (client == null || client.ended != null || client.goneAway) {
                        continue;
                    }
                    boolean alone = client.openRequests() == 0;
                    String schema = "zaehler_" + (i % 9) + ".werte";
                    Client.Request request =
                            i % 20 == 0
                                    ? client.send("ladung", 22_000, String.format("%08x%08x", sender, i), "insert into " + schema + " values (1)")
                                    : client.send("abfrage", 2_400, null, "select wert from " + schema);
                    sent.add(new Sent(client, request, alone));
                } catch (IOException e) {
                    record.log("client u" + sender + "-" + i + " could not write: " + e.getMessage());
                }
            }
        }
    }

    /** Holds silent connections, and opens each again that the router has closed. */
    private void holdSilent(int port) {
        List<SocketChannel> held = new ArrayList<>();
        ByteBuffer ignored = ByteBuffer.allocate(256);
        while (!silentOver) {
            int opened = 0;
            while (held.size() < SILENT_CONNECTIONS && opened++ < 50) {
                try {
                    SocketChannel channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    channel.configureBlocking(false);
                    held.add(channel);
                    silentOpened++;
                } catch (IOException e) {
                    record.log("bad client could not connect: " + e.getMessage());
                }
            }
            Daemons.pause(50);
            held.removeIf(channel -> isClosed(channel, ignored.clear()));
        }
        held.forEach(SilentClients::close);
    }

    private static boolean isClosed(SocketChannel channel, ByteBuffer ignored) {
        try {
            if (channel.read(ignored) >= 0) {
                return false;
            }
        } catch (IOException e) {
            // reset by the router
        }
        close(channel);
        return true;
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // closed
        }
    }
}
