import java.util.ArrayList;
import java.util.List;

/** Usual clients connect while others open hundreds of connections and say nothing. */
final class AcceptCase extends Rig {
    private static final int BAD_CLIENTS = 50;
    private static final int SILENT = 250;
    private static final int ROUNDS = 2;
    private static final int NEW_CLIENTS = 10;

    AcceptCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        main(new AcceptCase());
    }

    @Override
    void run() throws Exception {
        Deployment site = new Deployment(192, run -> run.engine.serveAfter(run, 40));
        if (trouble) {
            BadClient.start(this, BAD_CLIENTS, site.router.port);
        }
        for (int round = 0; round < ROUNDS; round++) {
            List<Client> silent = new ArrayList<>();
            for (int i = 0; trouble && i < SILENT; i++) {
                silent.add(new Client(site.router.port));
            }
            log("silent-connections", "count", silent.size());
            for (int i = 0; i < NEW_CLIENTS; i++) {
                FrontClient client = new FrontClient("usual-" + round + "-" + i, site.router.port);
                client.request(2_000, "abfrage", LOOKUP);
                sleep(50);
            }
            sleep(12_000);
            silent.forEach(Client::close);
        }
        checkThatNoneIsLost();
        site.router.logOutput();
    }
}
