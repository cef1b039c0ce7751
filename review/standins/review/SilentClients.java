package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Bad clients open hundreds of connections and say nothing, beside the usual load. The platform kills a router over
 * its memory limit.
 */
final class SilentClients extends Case {

    private static final int MEMORY_MB = 128;
    private static final int SOCKETS = 1024;
    private static final int USUAL_CONNECTIONS = 60;
    private static final int SILENT_CONNECTIONS = 530;
    private static final int REQUESTS_A_SECOND = 110;
    private static final int ROUNDS_A_SECOND = 10;
    private static final long CALM_MS = 10_000;
    private static final long TROUBLE_MS = 20_000;

    private volatile boolean over;
    private volatile boolean killed;
    private volatile int silentOpened;
    private volatile int silentHeld;

    public static void main(String[] args) {
        run(new SilentClients(), args);
    }

    @Override
    boolean play() throws Exception {
        List<Engine> engines = new ArrayList<>();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Engine engine = new Engine("s-0000000" + (i + 1), record, (lane, statement) -> lane.equals("ladung") ? 800 : 300)
                    .withRows(150);
            engines.add(engine);
            hosts.add(Journal.host(engine, "halle-" + (i % 3 + 1), i % 2 == 0 ? "typ-a" : "typ-b", 2, "in_service"));
        }
        String first = Journal.event(1, true, String.join(",", hosts));
        Journal journal = new Journal(record, first);
        RouterProcess router =
                register(new RouterProcess(root, temporary, journal.address(), first, MEMORY_MB, SOCKETS, SETTINGS));
        router.start(record);
        Thread platform = Daemons.start(() -> watchMemory(router));
        long startMs = Record.nowMs();
        if (trouble) {
            Daemons.start(() -> {
                Daemons.pause(CALM_MS);
                record.say("bad clients begin: up to " + SILENT_CONNECTIONS + " connections at a time, without a byte");
                holdSilent(router.port);
            });
        }
        List<Client.Request> requests = usualLoad(router, startMs);
        Daemons.pause(startMs + CALM_MS + TROUBLE_MS - Record.nowMs());
        over = true;
        Daemons.pause(3_000);
        int served = 0;
        int other = 0;
        int none = 0;
        for (Client.Request request : requests) {
            Client.Answer answer = request.answer.getNow(null);
            if (answer == null || !answer.isWhole()) {
                none++;
            } else if (answer.code() == Client.SERVED) {
                served++;
            } else {
                other++;
            }
        }
        platform.join();
        record.say("connections of bad clients: " + silentOpened + " in all");
        record.say("usual clients: " + requests.size() + " requests: " + served + " served, " + other
                + " refused or failed, " + none + " without an answer");
        record.say("router " + (killed ? "killed over its memory limit" : router.isAlive() ? "alive" : "ended by itself"));
        return killed || !router.isAlive();
    }

    private List<Client.Request> usualLoad(RouterProcess router, long startMs) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_CONNECTIONS; i++) {
            clients.add(new Client("u" + i, router.port, record));
        }
        List<Client.Request> requests = new ArrayList<>();
        int perRound = REQUESTS_A_SECOND / ROUNDS_A_SECOND;
        long rounds = (CALM_MS + TROUBLE_MS) / 1000 * ROUNDS_A_SECOND;
        for (int round = 0; round < rounds; round++) {
            Daemons.pause(startMs + round * 1000L / ROUNDS_A_SECOND - Record.nowMs());
            for (int i = 0; i < perRound; i++) {
                Client client = clients.get((round * perRound + i) % clients.size());
                if (client.ended != null) {
                    continue;
                }
                String schema = "zaehler_" + (round % 9) + ".werte";
                try {
                    requests.add(
                            i == 3
                                    ? client.send("ladung", 22_000, Client.newId(), load(schema))
                                    : client.send("abfrage", 2_400, null, "select wert from " + schema));
                } catch (IOException e) {
                    record.log("client " + client.name + " could not write: " + e.getMessage());
                }
            }
        }
        return requests;
    }

    /** A batch of readings, about 6 KB. */
    private static String load(String schema) {
        StringBuilder text = new StringBuilder("insert into " + schema + " values ");
        for (int i = 0; i < 200; i++) {
            text.append(i == 0 ? "" : ",").append("(").append(4711_0000 + i).append(",'2026-11-30',").append(i).append(")");
        }
        return text.toString();
    }

    /** The platform: kills the router once it holds more than memory_mb of memory. */
    private void watchMemory(RouterProcess router) {
        long limitKb = MEMORY_MB * 1024L;
        for (int i = 0; !over; i++) {
            try {
                Map<String, Long> status = status(router.process().pid());
                long residentKb = status.getOrDefault("VmRSS", 0L);
                String text = "router memory: resident " + residentKb / 1024 + " MB (not of files: "
                        + status.getOrDefault("RssAnon", 0L) / 1024 + " MB) of " + MEMORY_MB + " MB, "
                        + status.getOrDefault("Threads", 0L) + " threads, bad connections open: " + silentHeld;
                if (i % 10 == 0) {
                    record.log(text);
                }
                if (i % 100 == 0 && i > 0) {
                    record.say(text);
                }
                if (residentKb > limitKb) {
                    record.say(text);
                    record.say("over the limit: the platform kills the router");
                    killed = true;
                    router.kill();
                    return;
                }
            } catch (IOException e) {
                return; // the router has ended
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            Daemons.pause(100);
        }
    }

    private static Map<String, Long> status(long pid) throws IOException {
        Map<String, Long> values = new HashMap<>();
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            String[] words = line.split("[:\\s]+");
            if (words.length > 1 && words[1].matches("[0-9]{1,12}")) {
                values.put(words[0], Long.parseLong(words[1]));
            }
        }
        return values;
    }

    /** Holds silent connections, and opens each again that the router has closed. */
    private void holdSilent(int port) {
        List<SocketChannel> held = new ArrayList<>();
        ByteBuffer ignored = ByteBuffer.allocate(256);
        while (!over && !killed) {
            int opened = 0;
            while (held.size() < SILENT_CONNECTIONS && opened++ < 20) {
                try {
                    SocketChannel channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    channel.configureBlocking(false);
                    held.add(channel);
                    silentOpened++;
                } catch (IOException e) {
                    record.log("bad client could not connect: " + e.getMessage());
                }
            }
            silentHeld = held.size();
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
