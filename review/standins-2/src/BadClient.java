import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/**
 * A bad client: sends many requests of a class that does not exist at once, reads the answers, and
 * sends the same again.
 */
final class BadClient {
    private static final int AT_ONCE = 150;

    private BadClient() {}

    /** Starts clients, and waits until all of them are connected and have begun. */
    static void start(Rig rig, int count, int port) throws InterruptedException {
        CountDownLatch connected = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            Rig.spawn(() -> sendAgainAndAgain(rig, port, connected));
        }
        connected.await();
        rig.log("bad-clients-begin", "count", count, "requests-at-once", AT_ONCE);
        Rig.sleep(2_000);
    }

    private static void sendAgainAndAgain(Rig rig, int port, CountDownLatch connected)
            throws Exception {
        while (true) {
            try (Rig.Client client = new Rig.Client(port)) {
                client.send(20, 0, Rig.fields(), new byte[0]);
                client.read(0);
                connected.countDown();
                connected.await();
                while (true) {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    for (int i = 0; i < AT_ONCE; i++) {
                        all.writeBytes(
                                Rig.frame(
                                        10,
                                        client.newStream(),
                                        Rig.fields("class", "nosuch", "id", rig.newId(), "wait", "2000"),
                                        Rig.LOOKUP));
                    }
                    client.write(all.toByteArray());
                    for (int i = 0; i < AT_ONCE; i++) {
                        client.read(0);
                    }
                }
            } catch (IOException e) {
                rig.log("bad-client-closed", "reason", e);
                Rig.sleep(100);
            }
        }
    }
}
