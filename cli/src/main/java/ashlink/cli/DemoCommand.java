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

    private static final long NS_PER_SECOND = 1_000_000_000L;

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
        boolean allServed = runExamples(router, engines);
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
        return allServed ? 0 : 1;
    }

    private static boolean runExamples(Router router, List<EmulatedEngine> engines)
            throws Exception {
        boolean allServed = true;
        try (NativeClient portal = NativeClient.connect(router.address(), "portal");
                NativeClient billing = NativeClient.connect(router.address(), "billing")) {
            allServed &=
                    run(
                            portal,
                            "look-up",
                            "SELECT /* sim work_ms=20 */ value FROM readings WHERE meter = 7");
            allServed &=
                    run(
                            billing,
                            "report",
                            "SELECT /* sim work_ms=80 threads=4 rows=12 */ sum(value) FROM"
                                    + " readings");
            allServed &=
                    run(
                            portal,
                            "load",
                            "INSERT /* sim work_ms=60 threads=2 */ INTO readings SELECT * FROM"
                                    + " inbox");
        }
        allServed &= runOverHttp(router);
        printLedgers(engines);
        return allServed;
    }

    private static boolean run(NativeClient client, String name, String statement) {
        long startNs = System.nanoTime();
        Reply reply = client.query(name, statement, Map.of(), 10 * NS_PER_SECOND);
        System.out.printf(
                "%-8s %-9s %3d rows in %5.1f ms   %s%n",
                name, reply.kind(), reply.rows(), (reply.endNs() - startNs) / 1e6, reply.message());
        return reply.kind() == Reply.Kind.SERVED;
    }

    private static boolean runOverHttp(Router router) throws Exception {
        StatementResult result =
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
                                10 * NS_PER_SECOND,
                                page -> {});
        System.out.printf(
                "%-8s %-9s %3d rows over HTTP   %s%n",
                "look-up", result.kind(), result.rows(), result.detail());
        return result.kind() == StatementResult.Kind.SERVED;
    }

    private static void printLedgers(List<EmulatedEngine> engines) {
        for (EmulatedEngine engine : engines) {
            for (Ledger.Entry entry : engine.ledger().entries()) {
                System.out.printf(
                        "  engine %s (%s, %s) ran %s: %s%n",
                        engine.config().name(),
                        engine.config().kind(),
                        engine.config().zone(),
                        entry.queryId,
                        entry.outcome());
            }
        }
    }
}
