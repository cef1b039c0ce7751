import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for the cases of the second review: clients, engines and the journal service of the
 * platform, by the protocol page, and the start of a router by the command of the deploy file. All
 * addresses are on loopback. A case extends this class, and calls {@link #held} or {@link #broken}.
 */
abstract class Rig {

    static final int SERVED = 0;
    static final int REFUSED = 11;
    static final int FAILED = 5;

    static final int HELD_STATUS = 0;
    static final int BROKEN_STATUS = 1;
    static final int NOT_RUN_STATUS = 2;
    private static final int MAX_SECONDS = 112;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Rig::daemon);
    final List<Process> processes = new CopyOnWriteArrayList<>();
    private final long startNs = System.nanoTime();
    private final Path root;
    private final Path temp;
    private final PrintWriter record;
    private final AtomicLong ids = new AtomicLong(0x4a00000000000000L | System.nanoTime() & 0xffffffffffL << 8);

    Rig() throws IOException {
        root = Path.of(System.getenv("ASHLINK_ROOT"));
        temp = Path.of(System.getenv("CASE_TMP"));
        record = new PrintWriter(System.getenv("RECORD"), StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    abstract void run() throws Exception;

    /** Runs a case; any failure of the rig itself is "could not run". */
    static void main(Rig rig) {
        int status = NOT_RUN_STATUS;
        rig.timer.schedule(() -> rig.end(NOT_RUN_STATUS), MAX_SECONDS, TimeUnit.SECONDS);
        try {
            rig.log("start", "trouble", rig.trouble);
            rig.run();
            status = rig.verdict();
        } catch (Throwable e) {
            e.printStackTrace();
            rig.log("could-not-run", "error", e);
        }
        rig.end(status);
    }

    private synchronized void end(int status) {
        log("verdict", "status", status);
        record.flush();
        endProcesses();
        Runtime.getRuntime().halt(status);
    }

    private final List<String> broken = Collections.synchronizedList(new ArrayList<>());

    void broken(String what) {
        broken.add(what);
        log("RULE-BROKEN", "what", what);
    }

    private int verdict() {
        synchronized (broken) {
            broken.forEach(System.out::println);
            System.out.println(broken.isEmpty() ? "the rule held" : "the rule was broken");
            return broken.isEmpty() ? HELD_STATUS : BROKEN_STATUS;
        }
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    void log(String event, Object... pairs) {
        StringBuilder line = new StringBuilder(String.format("%10.1f %s", nowMs(), event));
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        synchronized (record) {
            record.println(line);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread spawn(Task task) {
        Thread thread =
                daemon(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The peer has gone; what it did before is in the record.
                            }
                        });
        thread.start();
        return thread;
    }

    static void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
    }

    String newId() {
        return String.format("%016x", ids.incrementAndGet());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // Router.

    /** A router, started by the command of the deploy file. */
    final class Router {
        final String name;
        final int port = freePort();
        final Path config;
        final Process process;
        private final int memoryMb;
        private final String settings;

        Router(
                String name,
                int memoryMb,
                int journalPort,
                String knownEvents,
                int position,
                String settings)
                throws Exception {
            this.name = name;
            this.memoryMb = memoryMb;
            this.settings = settings;
            config = temp.resolve(name + ".json");
            writeConfig(journalPort, knownEvents, position);
            File folder = Files.createDirectories(temp.resolve("tmp-" + name)).toFile();
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", "exec bash deploy/serve.sh")
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(temp.resolve(name + ".log").toFile());
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
            processes.add(process);
            awaitReady();
            log("router-ready", "name", name, "port", port);
        }

        void writeConfig(int journalPort, String knownEvents, int position) throws IOException {
            String json =
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                            + "\",\"seed\":\"8c1f30d27a5be96" + name.charAt(name.length() - 1) + "\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":1024},"
                            + "\"journal\":\"127.0.0.1:" + journalPort + "\","
                            + "\"known\":{\"pos\":" + position + ",\"entries\":[" + knownEvents + "]},"
                            + "\"settings\":" + settings + "}";
            Path next = temp.resolve(name + ".next");
            Files.writeString(next, json);
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        private void awaitReady() throws Exception {
            long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < untilNs && process.isAlive()) {
                try (Client client = new Client(port)) {
                    client.send(20, 0, fields(), new byte[0]);
                    Frame frame = client.read(2_000);
                    if (frame.type == 21 && frame.code() == 0) {
                        return;
                    }
                } catch (IOException e) {
                    sleep(50);
                }
            }
            throw new IllegalStateException("router " + name + " is not ready");
        }

        void signal(String signal) throws Exception {
            log("signal", "router", name, "signal", signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean hasLogged(String text) throws IOException {
            return Files.readString(temp.resolve(name + ".log")).contains(text);
        }

        /** Writes the lines of the router's log that tell of trouble to the record. */
        void logOutput() throws IOException {
            for (String line : Files.readAllLines(temp.resolve(name + ".log"))) {
                if (line.contains("ERROR") || line.contains("overloaded") || line.contains("Exception")) {
                    log("router-log", "line", line);
                }
            }
        }
    }

    // Clients.

    record Frame(int type, long stream, byte[] payload) {
        int code() {
            return payload.length == 0 ? -1 : payload[0] & 0xff;
        }
    }

    static Map<String, String> fields(String... pairs) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            fields.put(pairs[i], pairs[i + 1]);
        }
        return fields;
    }

    static byte[] frame(int type, long stream, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        if (fields != null) {
            payload.write(fields.size());
            fields.forEach(
                    (name, value) -> {
                        byte[] text = value.getBytes(StandardCharsets.UTF_8);
                        payload.write(name.length());
                        payload.writeBytes(name.getBytes(StandardCharsets.UTF_8));
                        payload.write(text.length >> 8);
                        payload.write(text.length);
                        payload.writeBytes(text);
                    });
            payload.writeBytes(body);
        }
        return java.nio.ByteBuffer.allocate(9 + payload.size())
                .putInt(5 + payload.size())
                .put((byte) type)
                .putInt((int) stream)
                .put(payload.toByteArray())
                .array();
    }

    /** A client connection. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final DataInputStream in;
        private long stream;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3_000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
        }

        long newStream() {
            return ++stream;
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        void send(int type, long onStream, Map<String, String> fields, byte[] body)
                throws IOException {
            write(frame(type, onStream, fields, body));
        }

        Frame read(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            int length = in.readInt();
            int type = in.readUnsignedByte();
            long onStream = in.readInt() & 0xffffffffL;
            byte[] payload = new byte[length - 5];
            in.readFully(payload);
            return new Frame(type, onStream, payload);
        }

        @Override
        public void close() {
            closeQuietly(socket);
        }
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Closed.
        }
    }

    // Engines.

    /** A request as an engine received it. */
    static final class Run {
        final Engine engine;
        final Link link;
        final String id;
        final Map<String, String> fields;
        final byte[] statement;
        final double atMs;
        volatile boolean given;

        Run(Engine engine, Link link, String id, Map<String, String> fields, byte[] statement, double atMs) {
            this.engine = engine;
            this.link = link;
            this.id = id;
            this.fields = fields;
            this.statement = statement;
            this.atMs = atMs;
        }
    }

    /** One connection from a router to an engine. */
    static final class Link {
        final Socket socket;

        Link(Socket socket) {
            this.socket = socket;
        }

        synchronized void write(String line, byte[] body) {
            try {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
                if (body != null) {
                    out.writeBytes(body);
                    out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                socket.getOutputStream().write(out.toByteArray());
            } catch (IOException e) {
                // The router has closed the connection.
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed.
            }
        }
    }

    /** What an engine does with a request that it has received whole. */
    interface Behaviour {
        void onRun(Run run) throws Exception;
    }

    /** An engine of the platform: answers pings, and runs requests as its behaviour says. */
    class Engine {
        final String id;
        final ServerSocket server;
        final List<Run> runs = new CopyOnWriteArrayList<>();
        final List<Link> links = new CopyOnWriteArrayList<>();
        volatile Behaviour behaviour;

        Engine(String id, Behaviour behaviour) throws IOException {
            this(id, behaviour, new ServerSocket());
            server.bind(new InetSocketAddress("127.0.0.1", 0), 512);
            accept();
        }

        Engine(String id, Behaviour behaviour, ServerSocket server) {
            this.id = id;
            this.behaviour = behaviour;
            this.server = server;
        }

        void accept() {
            spawn(
                    () -> {
                        while (true) {
                            adopt(server.accept());
                        }
                    });
        }

        void adopt(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            Link link = new Link(socket);
            links.add(link);
            spawn(() -> serve(link));
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Link link) throws Exception {
            InputStream in = new BufferedInputStream(link.socket.getInputStream(), 1 << 16);
            try {
                while (true) {
                    String line = readLine(in);
                    String[] words = line.split(" ");
                    switch (words[0]) {
                        case "do" -> {
                            byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                            in.readNBytes(2);
                            Map<String, String> fields = new HashMap<>();
                            for (String pair : words[2].split(",")) {
                                int equals = pair.indexOf('=');
                                fields.put(pair.substring(0, equals), pair.substring(equals + 1));
                            }
                            Run run = new Run(this, link, words[1], fields, body, nowMs());
                            log("engine-received", "engine", id, "id", run.id, "fields", words[2]);
                            runs.add(run);
                            behaviour.onRun(run);
                        }
                        case "ping" -> link.write(words[1] + " green - 0", new byte[0]);
                        case "top" -> link.write(words[1] + " green rep=queue:0;x0:0.1 0", new byte[0]);
                        case "undo" -> {
                            log("engine-undo", "engine", id, "id", words[1]);
                            for (Run run : runs) {
                                if (run.id.equals(words[1]) && run.link == link) {
                                    run.given = true;
                                }
                            }
                        }
                        default -> log("engine-command", "engine", id, "line", line);
                    }
                }
            } finally {
                links.remove(link);
                closeQuietly(link.socket);
            }
        }

        /** Answers a request as served, unless it was given up. */
        void serve(Run run) {
            byte[] rows = (run.id + "\tok\t1\n").getBytes(StandardCharsets.UTF_8);
            log("engine-served", "engine", id, "id", run.id, "given-up", run.given);
            if (!run.given) {
                run.link.write(
                        run.id + " served fetches=1,rep=queue:0;x0:0.1 " + rows.length, rows);
            }
        }

        void serveAfter(Run run, long ms) {
            timer.schedule(() -> serve(run), ms, TimeUnit.MILLISECONDS);
        }

        String entry(String site, String kind, int block, String health, long bornMs) {
            return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port() + "\",\"site\":\"" + site
                    + "\",\"class\":\"" + kind + "\",\"block\":" + block + ",\"health\":\"" + health
                    + "\",\"share\":1,\"born_ms\":" + bornMs + "}";
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    // Journal service.

    static String event(int position, boolean whole, String... entries) {
        return "{\"pos\":" + position + ",\"hosts\":{\"seq\":" + position + ",\"whole\":" + whole
                + ",\"hosts\":[" + String.join(",", entries) + "]}}";
    }

    /** The journal service: numbered events, a comment each second. */
    final class Journal {
        final ServerSocket server = new ServerSocket();
        final List<String> events = new CopyOnWriteArrayList<>();
        final List<Socket> watches = new CopyOnWriteArrayList<>();

        /** Whether the service tells nothing more. */
        volatile boolean closed;

        Journal() throws IOException {
            server.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            spawn(
                    () -> {
                        while (true) {
                            Socket socket = server.accept();
                            spawn(() -> serve(socket));
                        }
                    });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int last = 0;
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    last = Integer.parseInt(line.substring(14).trim());
                }
            }
            log("watch-begins", "after", last);
            watches.add(socket);
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".getBytes());
            double nextCommentMs = 0;
            while (!closed) {
                while (events.size() > last) {
                    out.write(("id: " + (last + 1) + "\ndata: " + events.get(last) + "\n\n").getBytes());
                    last++;
                    log("journal-told", "pos", last);
                }
                if (nowMs() >= nextCommentMs) {
                    out.write(": \n\n".getBytes());
                    nextCommentMs = nowMs() + 1_000;
                }
                sleep(10);
            }
        }

        /** Adds the next event; returns its position. */
        synchronized int tell(String... entries) {
            int position = events.size() + 1;
            events.add(event(position, false, entries));
            return position;
        }
    }

    // Answers, by request id.

    record Answer(int code, double atMs, String body) {}

    /** A request of a usual client, when its last byte was written. */
    record Sent(double atMs, int waitMs) {}

    final Map<String, Sent> requests = new ConcurrentHashMap<>();

    final Map<String, Answer> answers = new ConcurrentHashMap<>();
    final Map<String, Integer> answerCounts = new ConcurrentHashMap<>();

    /** A usual client: sends requests on its connection and records the answers. */
    final class UsualClient implements Closeable {
        final String name;
        final Client client;
        private final Map<Long, String> open = new ConcurrentHashMap<>();
        volatile boolean ended;

        /** Whether the router has sent type 30: no new request on this connection. */
        volatile boolean toldToGo;

        UsualClient(String name, int port) throws IOException {
            this.name = name;
            client = new Client(port);
            spawn(this::readAnswers);
        }

        private void readAnswers() {
            try {
                while (true) {
                    Frame frame = client.read(0);
                    if (frame.type() == 30) {
                        toldToGo = true;
                        log("client-told-to-go", "client", name);
                        continue;
                    }
                    String id = open.remove(frame.stream());
                    if (frame.type() != 11 || id == null) {
                        log("client-other-frame", "client", name, "type", frame.type(), "stream",
                                frame.stream(), "text", text(frame));
                        continue;
                    }
                    log("client-answer", "client", name, "id", id, "code", frame.code());
                    answers.putIfAbsent(id, new Answer(frame.code(), nowMs(), text(frame)));
                    answerCounts.merge(id, 1, Integer::sum);
                }
            } catch (IOException e) {
                ended = true;
                log("client-connection-ended", "client", name, "open", open.values(), "reason", e);
            }
        }

        /** Sends a request; returns its id once its last byte is written. */
        String request(int waitMs, String queryClass, String key, String once, byte[] statement)
                throws IOException {
            String id = newId();
            Map<String, String> fields =
                    fields("class", queryClass, "id", id, "wait", Integer.toString(waitMs), "cost",
                            "120.0", "heap_mb", "64");
            if (key != null) {
                fields.put("key", key);
            }
            if (once != null) {
                fields.put("once", once);
            }
            long stream = client.newStream();
            open.put(stream, id);
            client.send(10, stream, fields, statement);
            requests.put(id, new Sent(nowMs(), waitMs));
            log("client-request", "client", name, "id", id, "class", queryClass, "key", key, "wait",
                    waitMs, "bytes", statement.length);
            return id;
        }

        /** Withdraws a request: nobody waits for its answer any more. */
        void withdraw(String id) throws IOException {
            for (Map.Entry<Long, String> each : open.entrySet()) {
                if (each.getValue().equals(id)) {
                    client.send(12, each.getKey(), null, null);
                    log("client-withdraws", "client", name, "id", id);
                }
            }
        }

        @Override
        public void close() {
            client.close();
        }
    }

    /**
     * Up to half a second after its time an answer only earns nothing; later, or never, the request
     * is lost. Every time limit on sockets is 50 ms longer.
     */
    static final int LOST_AFTER_MS = 550;

    /** Waits until the time of all requests is over, and reports those that were lost. */
    void checkThatNoneIsLost() throws InterruptedException {
        double untilMs = 0;
        for (Sent sent : requests.values()) {
            untilMs = Math.max(untilMs, sent.atMs() + sent.waitMs() + LOST_AFTER_MS);
        }
        sleep(Math.max(0, untilMs - nowMs()) + 50);
        int lost = 0;
        double longestMs = 0;
        String first = null;
        for (Map.Entry<String, Sent> each : requests.entrySet()) {
            Answer answer = answers.get(each.getKey());
            double latencyMs = (answer == null ? nowMs() : answer.atMs()) - each.getValue().atMs();
            longestMs = Math.max(longestMs, latencyMs);
            if (answer == null || latencyMs > each.getValue().waitMs() + LOST_AFTER_MS) {
                lost++;
                first = each.getKey();
                log("lost", "id", first, "answer", answer, "latency-ms", latencyMs);
            }
        }
        System.out.printf("requests %d lost %d longest answer %.0f ms%n", requests.size(), lost, longestMs);
        log("requests", "count", requests.size(), "lost", lost, "longest-ms", longestMs);
        if (lost > 0) {
            broken(lost + " of " + requests.size() + " requests were lost, among them " + first);
        }
    }

    /** A client of the front: sends each request on an open connection, or on a new one. */
    final class FrontClient {
        private final String name;
        private final int port;
        private UsualClient current;
        private int connections;

        FrontClient(String name, int port) {
            this.name = name;
            this.port = port;
        }

        String request(int waitMs, String queryClass, byte[] statement) throws IOException {
            if (current == null || current.ended || current.toldToGo) {
                current = new UsualClient(name + "." + connections++, port);
            }
            return current.request(waitMs, queryClass, null, null, statement);
        }
    }

    private static String text(Frame frame) {
        return new String(frame.payload(), StandardCharsets.UTF_8).replaceAll("[^ -~]", ".");
    }

    static byte[] statement(String text, int bytes) {
        StringBuilder builder = new StringBuilder(text);
        while (builder.length() < bytes) {
            builder.append(" (1, 'reading', 2.5),");
        }
        return builder.toString().getBytes(StandardCharsets.UTF_8);
    }

    // Settings.

    /** One class of the settings. */
    static String queryClass(
            String name, String effect, long promiseMs, long deadlineMs, String more) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"gain\":1.0,\"promise-ns\":"
                + promiseMs + "000000,\"aim-stretch\":2.0,\"deadline-ns\":" + deadlineMs
                + "000000,\"late-share\":0.3,\"memory-span-ns\":5000000000,\"group\":\"all\",\"stream\":false"
                + (more.isEmpty() ? "" : "," + more) + "}";
    }

    /** Settings like those of the deployment almtal-zaehler; later entries of a name hold. */
    static String settings(String ceilings, String rules, String... classes) {
        return "{\"balancers\":3,\"position\":0,\"zone\":\"halle-1\",\"failure-domains\":[\"halle-1\",\"halle-2\"],"
                + "\"host-types\":[\"typ-a\",\"typ-b\"],\"discovery\":\"push\",\"family\":\"queries\","
                + "\"ceilings\":{" + ceilings + "},"
                + "\"classes\":[" + String.join(",", classes) + "],"
                + "\"extra\":{\"kind-cores\":[8,8],\"ram-of-kind-mb\":[16384,16384],\"width-by-class\":[1,1,1],"
                + "\"largest-share\":0.4,\"overbooked\":\"trim\",\"waits-for-loads\":[false,false,false],"
                + "\"writes-tables\":[false,false,false],\"cost-in-answers\":false,\"lanes-count\":false,"
                + "\"takes-grants\":false,\"progress-pace-ns\":0},"
                + "\"parties\":[],\"rules\":{" + rules + "},"
                + "\"stats\":{\"fields\":[\"pending\",\"x0\"],\"via\":\"inline\"},\"weights\":\"nominal\"}";
    }

    /** The classes of almtal-zaehler that the cases use. */
    static final String ABFRAGE = queryClass("abfrage", "idempotent", 500, 2500, "");

    static final String LADUNG =
            queryClass("ladung", "at_most_once", 3000, 25000, "\"one-at-a-time\":true");

    static final byte[] LOOKUP = statement("SELECT a FROM sales_1.readings", 1);

    /** Starts three engines, the journal service and a router, as almtal-zaehler has them. */
    final class Deployment {
        final List<Engine> engines = new ArrayList<>();
        final Journal journal = new Journal();
        final Router router;

        Deployment(int memoryMb, Behaviour behaviour) throws Exception {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                engines.add(new Engine("e-" + i, behaviour));
                entries.add(engines.get(i).entry("halle-1", "typ-a", 0, "in_service", 0));
            }
            String first = event(1, true, entries.toArray(String[]::new));
            journal.events.add(first);
            router =
                    new Router(
                            "n1",
                            memoryMb,
                            journal.port(),
                            first,
                            1,
                            settings(ceilings(true, false), RULES, ABFRAGE, LADUNG));
        }

        /** Returns when a request first reached an engine, or infinity if it did not. */
        double firstAtMs(String id) {
            double firstMs = Double.POSITIVE_INFINITY;
            for (Engine engine : engines) {
                for (Run run : engine.runs) {
                    firstMs = run.id.equals(id) ? Math.min(firstMs, run.atMs) : firstMs;
                }
            }
            return firstMs;
        }
    }

    static String ceilings(boolean mayProbe, boolean mayCancel) {
        return "\"attempts-cap\":4,\"cancel\":" + mayCancel + ",\"connect-timeout-ns\":250000000,"
                + "\"idle-close-ns\":15000000000,\"max-retry-after-ns\":500000000,\"max-streams\":32,"
                + "\"may-probe\":" + mayProbe + ",\"retry-after\":true,\"second-copies\":false,\"peers\":false";
    }

    static final String RULES =
            "\"answer-slack-ns\":20000000,\"cold-from\":0.31,\"cold-ns\":14000000000,\"fall-ns\":3000000000,"
                    + "\"overload-factor\":2.5,\"stop-sending-within-ns\":2000000000,\"turn-gap-ns\":300000000";
}
