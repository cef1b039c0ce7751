package ashlink.cli;

import ashlink.config.ConfigException;
import ashlink.config.RouterConfigReader;
import ashlink.router.Router;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Runs a router until it is told to stop. */
@Command(name = "route", mixinStandardHelpOptions = true,
        description = "Runs a router. SIGTERM stops it in order, SIGHUP reads its settings again.")
final class RouteCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(RouteCommand.class);

    @Parameters(paramLabel = "CONFIG", description = "Settings of the router.")
    private Path file;

    @Override
    public Integer call() throws Exception {
        Router router = new Router(RouterConfigReader.read(file));
        router.start();
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                router.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            stopped.countDown();
        }, "stop"));
        Signals.handle("HUP", () -> reload(router));
        System.out.println("listening on " + router.address());
        if (router.httpAddress() != null) {
            System.out.println("statements over HTTP on " + router.httpAddress());
        }
        stopped.await();
        return 0;
    }

    private void reload(Router router) {
        try {
            router.reload(RouterConfigReader.read(file));
        } catch (ConfigException e) {
            LOG.error("reload refused, the old settings stay:\n{}", e.getMessage());
        }
    }
}
