package review;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A sound SQL engine of the platform's line protocol: runs each statement for a given time, then answers with one
 * page. Heeds ttl ('nobody' when it is over before the start) and answers probes. Records what it receives and runs.
 */
final class Engine implements Closeable {

    /** How a statement runs. */
    interface Work {
        /** Returns the time for which the statement runs, in milliseconds. */
        long durationMs(String lane, String statement);
    }

    /** A statement that came. */
    record Run(long atMs, String id, String lane, int bytes) {}

    final String id;
    private final Record record;
    private final Work work;
    private volatile int rows = 1;
    private final ServerSocket server;
    private final ScheduledThreadPoolExecutor timer;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final Set<String> done = ConcurrentHashMap.newKeySet();

    Engine(String id, Record record, Work work) throws IOException {
        this.id = id;
        this.record = record;
        this.work = work;
        server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        timer = new ScheduledThreadPoolExecutor(2, Daemons::thread);
        Daemons.start(this::accept);
    }

    /** Sets the number of rows of a result; all go into one page. */
    Engine withRows(int count) {
        rows = count;
        return this;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Daemons.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Set<String> undone = ConcurrentHashMap.newKeySet();
            for (String line = readLine(in); line != null; line = readLine(in)) {
                long atMs = Record.nowMs();
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "do" -> {
                        byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                        readLine(in);
                        run(socket, undone, atMs, words[1], words[2], body);
                    }
                    case "undo" -> {
                        record.log("engine " + id + " undo " + words[1]);
                        undone.add(words[1]);
                    }
                    case "ping", "top" -> answer(socket, words[1], "green", "rep=pending:0;x0:0.1", "");
                    default -> {
                        // forget: there is nothing to forget
                    }
                }
            }
        } catch (IOException e) {
            // the router closed the connection
        } finally {
            sockets.remove(socket);
        }
    }

    private void run(Socket socket, Set<String> undone, long atMs, String request, String fields, byte[] body) {
        String lane = field(fields, "lane");
        runs.add(new Run(atMs, request, lane, body.length));
        record.log("engine " + id + " received " + request + " " + fields + " " + body.length + " bytes, runs");
        timer.schedule(
                () -> {
                    done.add(request);
                    if (undone.contains(request)) {
                        return;
                    }
                    try {
                        record.log("engine " + id + " served " + request);
                        answer(socket, request, "served", "fetches=1,rep=pending:0;x0:0.1",
                                (request + "\t" + id + "\t" + body.length + "\n").repeat(rows));
                    } catch (IOException e) {
                        record.log("engine " + id + " could not answer " + request + ": " + e.getMessage());
                    }
                },
                work.durationMs(lane, new String(body, StandardCharsets.UTF_8)),
                TimeUnit.MILLISECONDS);
    }

    private static void answer(Socket socket, String id, String word, String fields, String body) throws IOException {
        byte[] bytes = (id + " " + word + " " + fields + " " + body.length() + "\r\n" + body + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
        }
    }

    private static String field(String fields, String name) {
        for (String pair : fields.split(",")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        server.close();
        timer.shutdownNow();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
