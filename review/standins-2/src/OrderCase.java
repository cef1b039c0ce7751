import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Two loads of one key, while bad clients send at full speed. */
final class OrderCase extends Rig {
    private static final int BAD_CLIENTS = 10;
    private static final int AT_ONCE = 200;
    private static final int PAIRS = 10;
    private static final int BATCH_BYTES = 250_000;

    /** The page: writes of requests of one key lie at least 60 ms apart. */
    private static final int GAP_MS = 80;

    OrderCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        main(new OrderCase());
    }

    @Override
    void run() throws Exception {
        Deployment site = new Deployment(192, run -> run.engine.serveAfter(run, 40));
        if (trouble) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                spawn(() -> sendAtFullSpeed(site.router.port));
            }
            sleep(2_000);
        }
        for (int i = 0; i < PAIRS; i++) {
            checkPair(site, String.format("7f3a9c21e0b4%04x", i));
        }
        site.router.logOutput();
    }

    private void checkPair(Deployment site, String key) throws Exception {
        try (UsualClient one = new UsualClient("one-" + key, site.router.port);
                UsualClient two = new UsualClient("two-" + key, site.router.port)) {
            // Neither load comes on a new connection.
            awaitAnswer(one.request(2_000, "abfrage", null, null, LOOKUP));
            awaitAnswer(two.request(2_000, "abfrage", null, null, LOOKUP));
            sleep(300);
            String first =
                    one.request(
                            20_000,
                            "ladung",
                            key,
                            null,
                            statement("INSERT INTO sales_3.readings VALUES", BATCH_BYTES));
            sleep(GAP_MS);
            String second =
                    two.request(
                            20_000,
                            "ladung",
                            key,
                            null,
                            statement("INSERT INTO sales_3.readings VALUES (1, 'last', 2.5)", 1));
            awaitAnswer(first);
            awaitAnswer(second);
            double firstMs = site.firstAtMs(first);
            double secondMs = site.firstAtMs(second);
            log("pair", "key", key, "first", first, "sent-at", firstMs, "second", second, "sent-at", secondMs);
            if (secondMs < firstMs && firstMs != Double.POSITIVE_INFINITY) {
                broken(
                        String.format(
                                "key %s: the second load was sent %.0f ms before the first; answers %d and %d",
                                key,
                                firstMs - secondMs,
                                answers.get(first).code(),
                                answers.get(second).code()));
            }
        }
    }

    private void awaitAnswer(String id) throws InterruptedException {
        for (int i = 0; i < 400 && !answers.containsKey(id); i++) {
            sleep(10);
        }
    }

    private void sendAtFullSpeed(int port) throws Exception {
        while (true) {
            try (Client client = new Client(port)) {
                spawn(
                        () -> {
                            byte[] buffer = new byte[1 << 16];
                            while (client.socket.getInputStream().read(buffer) >= 0) {
                                // Bad clients read whatever they are sent.
                            }
                        });
                while (true) {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    for (int i = 0; i < AT_ONCE; i++) {
                        all.writeBytes(
                                frame(
                                        10,
                                        client.newStream(),
                                        fields("class", "nosuch", "id", newId(), "wait", "1000"),
                                        LOOKUP));
                    }
                    client.write(all.toByteArray());
                }
            } catch (IOException e) {
                log("bad-client-closed", "reason", e);
                sleep(100);
            }
        }
    }
}
