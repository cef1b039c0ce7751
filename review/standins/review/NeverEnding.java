package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send messages that never end, while usual clients have requests open on their connections. */
final class NeverEnding extends Case {

    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int BAD_CLIENTS = 200;
    private static final int USUAL_CLIENTS = 8;
    private static final long CROSSING_MS = 50;

    public static void main(String[] args) {
        run(new NeverEnding(), args);
    }

    private volatile boolean over;
    private final AtomicInteger badConnections = new AtomicInteger();

    @Override
    boolean play() throws Exception {
        List<Engine> engines = new ArrayList<>();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Engine engine = new Engine("s-0000000" + (i + 1), record, (lane, statement) ->
                    lane.equals("abfrage") ? 60 : lane.equals("ladung") ? 1500 : 1200);
            engines.add(engine);
            hosts.add(Journal.host(engine, "halle-" + (i % 3 + 1), i % 2 == 0 ? "typ-a" : "typ-b", 2, "in_service"));
        }
        String first = Journal.event(1, true, String.join(",", hosts));
        Journal journal = new Journal(record, first);
        RouterProcess router =
                register(new RouterProcess(root, temporary, journal.address(), first, MEMORY_MB, SOCKETS, SETTINGS));
        router.start(record);
        List<Client.Request> requests = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long endMs = Record.nowMs() + 15_000;
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            String name = "u" + i;
            threads.add(Daemons.start(() -> usualClient(name, router.port, endMs, requests)));
        }
        Daemons.pause(3_000);
        if (trouble) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Daemons.start(() -> badClient(router.port));
                Daemons.pause(10);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        over = true;
        int lost = 0;
        int crossed = 0;
        int served = 0;
        int refused = 0;
        int failed = 0;
        for (Client.Request request : requests) {
            Client.Answer answer = request.answer.get(30, TimeUnit.SECONDS);
            boolean sent = engines.stream().flatMap(e -> e.runs.stream()).anyMatch(r -> r.id().equals(request.id));
            if (!answer.isWhole() && answer.atMs() <= request.writtenMs + CROSSING_MS) {
                crossed++; // not judged: may have been under way when the router closed the connection
            } else if (!answer.isWhole()) {
                lost++;
                record.log("lost: no answer to " + request.id + " " + request.queryClass + ", written "
                        + (answer.atMs() - request.writtenMs) + " ms before its connection ended, sent to an engine: "
                        + sent + ", ran to its end there: " + engines.stream().anyMatch(e -> e.done.contains(request.id)));
            } else if (answer.code() == Client.SERVED) {
                served++;
            } else if (answer.code() == Client.REFUSED) {
                refused++;
            } else {
                failed++;
            }
        }
        record.say("connections of bad clients: " + badConnections + " in all, " + BAD_CLIENTS + " at a time at most");
        record.say("usual clients: " + requests.size() + " requests: " + served + " served, " + refused + " refused, "
                + failed + " failed, " + lost + " without an answer, " + crossed
                + " more whose last byte was written less than 50 ms before the end (not judged)");
        return lost > 0;
    }

    private void usualClient(String name, int port, long endMs, List<Client.Request> requests) {
        Client client = null;
        try {
            for (int i = 0; Record.nowMs() < endMs; i++) {
                if (client == null || client.ended != null) {
                    client = new Client(name + "-" + i, port, record);
                }
                try {
                    requests.add(client.send("bericht", 18_000, null, "select * from zaehler_" + (i % 5) + ".werte"));
                    requests.add(client.send("abfrage", 2_400, null, "select wert from zaehler_" + (i % 7) + ".werte"));
                    Daemons.pause(300);
                    requests.add(client.send("ladung", 23_000, Client.newId(), load(i)));
                } catch (IOException e) {
                    record.log("client " + name + " could not write: " + e.getMessage());
                }
                Daemons.pause(1200);
            }
        } catch (IOException e) {
            record.log("client " + name + " " + e);
        }
    }

    /** A batch of readings, about 20 KB. */
    private static String load(int batch) {
        StringBuilder text = new StringBuilder("insert into zaehler_" + (batch % 5) + ".werte values ");
        for (int i = 0; i < 700; i++) {
            text.append(i == 0 ? "" : ",").append("(").append(4711_0000 + i).append(",'2026-11-30',").append(i).append(")");
        }
        return text.toString();
    }

    /**
     * A message that never ends: its length says 262,144 bytes, some of them come, then nothing more until the router
     * closes. The same again then.
     */
    private void badClient(int port) {
        while (!over) {
            byte[] bytes = new byte[(int) (9_000 * Math.pow(2, 4.7 * ThreadLocalRandom.current().nextDouble()))];
            bytes[1] = 4; // length 0x00040000
            bytes[4] = 10;
            bytes[8] = 1;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                record.log("bad client connection " + badConnections.incrementAndGet() + " sends " + bytes.length + " bytes");
                socket.getOutputStream().write(bytes);
                byte[] buffer = new byte[4096];
                while (socket.getInputStream().read(buffer) >= 0) {
                    continue;
                }
            } catch (IOException e) {
                // closed by the router
            }
            Daemons.pause(200);
        }
    }
}
