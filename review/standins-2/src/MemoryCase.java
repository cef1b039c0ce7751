import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Bad clients use every second stream number, on hundreds of connections. */
final class MemoryCase extends Rig {
    private static final int BAD_CLIENTS = 340;
    private static final int MEMORY_MB = 128;
    private static final int AT_ONCE = 150;
    private static final int REQUESTS = 4_080;
    private static final int PER_STEP = 5;
    private static final int SECONDS = 60;

    MemoryCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        main(new MemoryCase());
    }

    @Override
    void run() throws Exception {
        Deployment site = new Deployment(MEMORY_MB, run -> run.engine.serveAfter(run, 40));
        FrontClient client = new FrontClient("usual", site.router.port);
        for (int i = 0; i < SECONDS * 5; i++) {
            if (trouble && i >= 10 && i < 10 + BAD_CLIENTS / PER_STEP) {
                // They come over some seconds, so that none waits long to be accepted.
                for (int n = 0; n < PER_STEP; n++) {
                    spawn(() -> useEverySecondStream(site.router.port));
                }
            }
            try {
                client.request(2_000, "abfrage", LOOKUP);
            } catch (IOException e) {
                // The connection has ended; the request was not written whole.
                log("not-written", "reason", e);
            }
            sleep(200);
        }
        checkThatNoneIsLost();
        site.router.logOutput();
    }

    /** Sends requests without an id, then one in a while, so that the connection is not idle. */
    private void useEverySecondStream(int port) throws Exception {
        while (true) {
            try (Client client = new Client(port)) {
                client.send(20, 0, fields(), new byte[0]);
                client.read(0);
                for (long sent = 0; ; ) {
                    int count = sent < REQUESTS ? AT_ONCE : 1;
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    for (int i = 0; i < count; i++) {
                        all.writeBytes(frame(10, 2 * ++sent, fields("class", "abfrage"), LOOKUP));
                    }
                    client.write(all.toByteArray());
                    for (int i = 0; i < count; i++) {
                        client.read(0);
                    }
                    if (count == 1) {
                        sleep(1_000);
                    }
                }
            } catch (IOException e) {
                log("bad-client-closed", "reason", e);
                sleep(200);
            }
        }
    }
}
