import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** A keyed load is reset near the end of its window; the next connection comes up late. */
final class KeyedCase extends Rig {
    private static final int WINDOW_MS = 15_000;

    /** The page: connections to sql engines come up late (up to 1.5 s). */
    private static final int LATE_MS = 900;

    /** The settings of the sites have 250 ms; no page sets a limit. */
    private static final int CONNECT_MS = 1_500;
    private static final int RESET_MS = WINDOW_MS - 500;

    KeyedCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        main(new KeyedCase());
    }

    /** An engine that can stop to accept for a while: new connections to it come up late. */
    private final class LateEngine extends Engine {
        private volatile boolean accepting = true;

        LateEngine(String id, Behaviour behaviour) throws IOException {
            super(id, behaviour, new ServerSocket());
            server.bind(new InetSocketAddress("127.0.0.1", 0), 1);
            server.setSoTimeout(5);
            spawn(
                    () -> {
                        while (true) {
                            if (!accepting) {
                                sleep(5);
                                continue;
                            }
                            try {
                                adopt(server.accept());
                            } catch (java.net.SocketTimeoutException e) {
                                // Looks again whether it accepts.
                            }
                        }
                    });
        }

        /** Fills the queue of connections that nobody accepts; new ones are not answered. */
        void stopAccepting() throws Exception {
            accepting = false;
            sleep(30);
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                spawn(() -> filler.connect(new InetSocketAddress("127.0.0.1", port()), 600));
            }
            sleep(50);
        }
    }

    @Override
    void run() throws Exception {
        AtomicReference<Run> first = new AtomicReference<>();
        Behaviour behaviour =
                run -> {
                    if (!first.compareAndSet(null, run)) {
                        run.engine.serveAfter(run, 40);
                    }
                };
        List<LateEngine> engines = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            engines.add(new LateEngine("e-" + i, behaviour));
            entries.add(engines.get(i).entry("halle-1", "typ-a", 0, "in_service", 0));
        }
        Journal journal = new Journal();
        String known = event(1, true, entries.toArray(String[]::new));
        journal.events.add(known);
        String keyed =
                queryClass("ladung", "deduplicated", 4_000, 25_000, "")
                        .replace("\"memory-span-ns\":5000000000", "\"memory-span-ns\":" + WINDOW_MS + "000000");
        Router router =
                new Router(
                        "n1", 192, journal.port(), known, 1,
                        settings(ceilings(false, true).replace("250000000", CONNECT_MS + "000000"), RULES, ABFRAGE, keyed));
        UsualClient client = new UsualClient("usual", router.port);
        String id =
                client.request(
                        24_000, "ladung", null, "batch-1",
                        statement("INSERT INTO sales_3.readings VALUES (1, 'reading', 2.5)", 1));
        while (first.get() == null) {
            sleep(5);
        }
        Run run = first.get();
        LateEngine other = engines.get(run.engine == engines.get(0) ? 1 : 0);
        sleep(run.atMs + RESET_MS - 120 - nowMs());
        if (trouble) {
            other.stopAccepting();
        }
        sleep(Math.max(0, run.atMs + RESET_MS - nowMs()));
        // The load has run; the connection is reset under it.
        log("reset", "after-ms", nowMs() - run.atMs);
        run.link.reset();
        sleep(LATE_MS);
        other.accepting = true;
        sleep(4_000);
        for (Engine engine : engines) {
            for (Run each : engine.runs) {
                System.out.printf("%s received %s %.0f ms after the first%n", engine.id, each.id, each.atMs - run.atMs);
                if (each.atMs - run.atMs > WINDOW_MS + 50) {
                    broken("the keyed load " + id + " ran again " + Math.round(each.atMs - run.atMs) + " ms after its first send; its key is remembered for " + WINDOW_MS + " ms");
                }
            }
        }
        System.out.println("answer " + answers.get(id));
        router.logOutput();
    }
}
