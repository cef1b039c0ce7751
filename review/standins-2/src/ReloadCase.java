import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A new configuration moves the journal service after a rolling deploy of a large fleet. */
final class ReloadCase extends Rig {
    private static final int ENGINES = 3_200;

    /** The page: a rolling deploy replaces up to 99% of the engines. */
    private static final int REPLACED = ENGINES * 99 / 100;

    /** The page: up to 20% of the fleet at a time. */
    private static final int AT_A_TIME = ENGINES / 5;

    private static final int DRAIN_MS = 3_000;
    private static final int GRACE_MS = 2_000;
    private static final int SLACK_MS = 50;

    /** The page: what the journal service has to tell counts as told 4 s after SIGHUP. */
    private static final int TOLD_AFTER_HUP_MS = 4_000;

    /** The page: the old address closes the open connections after 1.5 s. */
    private static final int OLD_CLOSES_MS = 1_500;

    private final String[] dials = new String[ENGINES];
    private final String[] ids = new String[ENGINES];
    private final Engine[] engines = new Engine[ENGINES];
    private volatile boolean loading = true;

    ReloadCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        main(new ReloadCase());
    }

    @Override
    void run() throws Exception {
        startEngines();
        Journal old = new Journal();
        List<String> all = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            ids[i] = String.format("s-%08x", i);
            all.add(entry(i, "in_service", 0));
        }
        String first = event(1, true, all.toArray(String[]::new));
        old.events.add(first);
        Router router =
                new Router(
                        "n1",
                        192,
                        old.port(),
                        first,
                        1,
                        settings(ceilings(true, false), RULES, ABFRAGE, LADUNG));
        FrontClient client = new FrontClient("usual", router.port);
        spawn(
                () -> {
                    while (loading) {
                        client.request(2_000, "abfrage", LOOKUP);
                        sleep(40);
                    }
                });
        sleep(2_000);
        if (trouble) {
            deploy(old);
        }
        sleep(3_000);
        Journal moved = new Journal();
        moved.events.addAll(old.events);
        router.writeConfig(moved.port(), String.join(",", old.events), old.events.size());
        log("configuration", "bytes", java.nio.file.Files.size(router.config), "events", old.events.size());
        closeQuietly(old.server);
        router.signal("HUP");
        double hupMs = nowMs();
        sleep(OLD_CLOSES_MS);
        old.closed = true;
        old.watches.forEach(Rig::closeQuietly);
        sleep(500);
        List<String> draining = new ArrayList<>();
        for (int i = 1; i < ENGINES; i += 2) {
            draining.add(entry(i, "terminating", 0));
        }
        moved.tell(draining.toArray(String[]::new));
        double graceEndMs = Math.max(nowMs(), hupMs + TOLD_AFTER_HUP_MS) + GRACE_MS + SLACK_MS;
        log("every-second-engine-drains", "grace-ends-ms", graceEndMs);
        sleep(graceEndMs - nowMs() + 10_000);
        loading = false;
        sleep(300);
        if (!router.hasLogged("configuration reload")) {
            throw new IllegalStateException("the router has not received SIGHUP");
        }
        checkDrains(graceEndMs);
        router.logOutput();
    }

    private void checkDrains(double graceEndMs) {
        int late = 0;
        Run firstLate = null;
        int after = 0;
        for (int i = 0; i < ENGINES; i++) {
            for (Run run : engines[i].runs) {
                if (run.atMs > graceEndMs) {
                    after++;
                    if (i % 2 == 1) {
                        late++;
                        firstLate = firstLate == null || run.atMs < firstLate.atMs ? run : firstLate;
                        log("sent-to-draining-engine", "id", run.id, "after-grace-ms", run.atMs - graceEndMs);
                    }
                }
            }
        }
        System.out.println("requests sent after the grace " + after + ", to draining engines " + late);
        if (after == 0) {
            throw new IllegalStateException("no request was sent after the grace");
        }
        if (late > 0) {
            broken(
                    String.format(
                            "%d requests were sent to draining engines after the grace, the first, %s, %.0f ms after it",
                            late, firstLate.id, firstLate.atMs - graceEndMs));
        }
    }

    /** Replaces the engines in steps: they drain, are gone, and others come at their addresses. */
    private void deploy(Journal journal) throws Exception {
        for (int from = 0; from < REPLACED; from += AT_A_TIME) {
            int to = Math.min(REPLACED, from + AT_A_TIME);
            journal.tell(entries(from, to, "terminating", 0));
            sleep(DRAIN_MS);
            journal.tell(entries(from, to, "terminated", 0));
            sleep(500);
            for (int i = from; i < to; i++) {
                ids[i] = String.format("s-%08x", 0x10000 + i);
            }
            journal.tell(entries(from, to, "in_service", System.currentTimeMillis()));
            sleep(1_500);
        }
    }

    private String[] entries(int from, int to, String health, long bornMs) {
        List<String> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            entries.add(entry(i, health, bornMs));
        }
        return entries.toArray(String[]::new);
    }

    private String entry(int i, String health, long bornMs) {
        return "{\"host\":\"" + ids[i] + "\",\"dial\":\"" + dials[i] + "\",\"site\":\"halle-" + (1 + i % 2)
                + "\",\"class\":\"typ-" + (i % 2 == 0 ? "a" : "b") + "\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1,\"born_ms\":" + bornMs + "}";
    }

    /** Listens at an address of loopback for each engine; one thread accepts for all. */
    private void startEngines() throws Exception {
        Selector selector = Selector.open();
        Map<SelectableChannel, Engine> listening = new HashMap<>();
        for (int i = 0; i < ENGINES; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            String host = "127.0." + (1 + i / 250) + "." + (1 + i % 250);
            server.bind(new InetSocketAddress(host, 0), 16);
            dials[i] = host + ":" + ((InetSocketAddress) server.getLocalAddress()).getPort();
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            engines[i] = new Engine(dials[i], run -> run.engine.serveAfter(run, 40), null);
            listening.put(server, engines[i]);
        }
        spawn(
                () -> {
                    while (true) {
                        selector.select();
                        for (SelectionKey key : selector.selectedKeys()) {
                            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                            if (channel != null) {
                                channel.configureBlocking(true);
                                listening.get(key.channel()).adopt(channel.socket());
                            }
                        }
                        selector.selectedKeys().clear();
                    }
                });
    }
}
