package ashlink.cli;

import ashlink.client.StatementClient;
import ashlink.client.StatementResult;
import ashlink.emulator.EmulatedEngine;
import ashlink.emulator.Ledger;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.EmulatedEngines;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs three emulated engines in two zones and a router, all in this process. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs three emulated engines in two zones and a router on the loopback interface,"
                        + " sends a few queries, and keeps running.")
final class DemoCommand implements Callable<Integer> {

    private static final long S = 1_000_000_000L;

    @Option(
            names = "--port",
            description = "Port of the router; 0 selects a free port.",
            defaultValue = "0")
    private int port;

    @Option(
            names = "--http-port",
            description = "HTTP port of the router; 0 selects a free port.",
            defaultValue = "0")
    private int httpPort;

    @Option(names = "--once", description = "Exit after the example queries.")
    private boolean once;

    @Override
    public Integer call() throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        Router router =
                new Router(
                        TestSettings.of(
                                "demo",
                                "halle-1",
                                0,
                                1,
                                1,
                                port,
                                engines,
                                "(http (listen 127.0.0.1:" + httpPort + "))"));
        router.start();
        boolean good = show(router, engines);
        System.out.println(
                "The router accepts native protocol connections on 127.0.0.1:"
                        + router.address().getPort()
                        + "; users without password: default, portal, billing.");
        System.out.println(
                "To run a statement over HTTP: curl 'http://127.0.0.1:"
                        + router.httpAddress().getPort()
                        + "/v1/statements?wait=10' -d 'SELECT 1'");
        if (!once) {
            System.out.println("Press Ctrl-C to stop.");
            new CountDownLatch(1).await();
        }
        router.stop();
        return good ? 0 : 1;
    }

    private static boolean show(Router router, List<EmulatedEngine> engines) throws Exception {
        boolean good = true;
        try (NativeClient portal = NativeClient.connect(router.address(), "portal");
                NativeClient billing = NativeClient.connect(router.address(), "billing")) {
            good &=
                    run(
                            portal,
                            "look-up",
                            "SELECT /* sim work_ms=20 */ value FROM readings WHERE meter = 7");
            good &=
                    run(
                            billing,
                            "report",
                            "SELECT /* sim work_ms=80 threads=4 rows=12 */ sum(value) FROM"
                                    + " readings");
            good &=
                    run(
                            portal,
                            "load",
                            "INSERT /* sim work_ms=60 threads=2 */ INTO readings SELECT * FROM"
                                    + " inbox");
        }
        StatementResult statementResult =
                new StatementClient(
                                URI.create("http://127.0.0.1:" + router.httpAddress().getPort()),
                                "portal",
                                "")
                        .run(
                                "SELECT /* sim work_ms=20 rows=3 */ value FROM readings WHERE meter"
                                        + " = 8",
                                Map.of(),
                                null,
                                null,
                                10 * S,
                                page -> {});
        System.out.printf(
                "%-8s %-9s %3d rows over HTTP   %s%n",
                "look-up",
                statementResult.kind(),
                statementResult.rows(),
                statementResult.detail());
        good &= statementResult.kind() == StatementResult.Kind.SERVED;
        for (EmulatedEngine emulatedEngine : engines) {
            for (Ledger.Entry entry : emulatedEngine.ledger().entries()) {
                System.out.printf(
                        "  engine %s (%s, %s) ran %s: %s%n",
                        emulatedEngine.config().name(),
                        emulatedEngine.config().kind(),
                        emulatedEngine.config().zone(),
                        entry.queryId,
                        entry.how());
            }
        }
        return good;
    }

    private static boolean run(NativeClient client, String name, String statement) {
        long from = System.nanoTime();
        Reply reply = client.query(name, statement, Map.of(), 10 * S);
        System.out.printf(
                "%-8s %-9s %3d rows in %5.1f ms   %s%n",
                name, reply.kind(), reply.rows(), (reply.endNs() - from) / 1e6, reply.message());
        return reply.kind() == Reply.Kind.SERVED;
    }
}
