import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/** A bad client sends some hundred requests at once; most of them have no id. */
final class HangCase extends Rig {
    private static final int BAD_CLIENTS = 1;

    /** Complete requests of one bad client, which are within the limit of 32 of a connection. */
    private static final int LARGE = 17;

    private static final int SMALL = 14;
    private static final int WITHOUT_ID = 150;
    private static final int LARGE_BYTES = 240_000;
    private static final int TRIES = 10;
    private static final int SECONDS = 20;

    HangCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        main(new HangCase());
    }

    @Override
    void run() throws Exception {
        Deployment site = new Deployment(192, run -> run.engine.serveAfter(run, 40));
        FrontClient client = new FrontClient("usual", site.router.port);
        for (int i = 0; i < SECONDS * 5; i++) {
            if (trouble && i == 10) {
                for (int n = 0; n < BAD_CLIENTS; n++) {
                    spawn(() -> sendManyAtOnce(site.router.port));
                }
            }
            client.request(2_000, "abfrage", LOOKUP);
            sleep(200);
        }
        checkThatNoneIsLost();
        site.router.logOutput();
    }

    /** Sends the same again on a new connection when it is turned away. */
    private void sendManyAtOnce(int port) throws Exception {
        byte[] large = statement("SELECT a FROM staging.readings WHERE b IN", LARGE_BYTES);
        for (int tries = 0; tries < TRIES; tries++) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 1; i <= LARGE + SMALL + WITHOUT_ID; i++) {
                Map<String, String> fields = fields("class", "abfrage", "wait", "2000");
                if (i <= LARGE + SMALL) {
                    fields.put("id", newId());
                }
                all.writeBytes(frame(10, i, fields, i <= LARGE ? large : LOOKUP));
            }
            byte[] bytes = all.toByteArray();
            try (Client client = new Client(port)) {
                spawn(() -> client.write(bytes));
                log("bad-client-writes", "requests", LARGE + SMALL + WITHOUT_ID, "bytes", bytes.length);
                byte[] buffer = new byte[1 << 16];
                while (client.socket.getInputStream().read(buffer) >= 0) {
                    // Bad clients read whatever they are sent.
                }
            } catch (IOException e) {
                // Turned away.
            }
            log("bad-client-turned-away");
        }
    }
}
