package ashlink.cli;

import ashlink.config.ConfigException;
import ashlink.config.RouterConfig;
import ashlink.config.RouterConfigReader;
import ashlink.control.member.FleetMember;
import ashlink.platform.Signals;
import ashlink.router.Router;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Runs a router until a signal or a fleet command stops it. */
@Command(
        name = "route",
        mixinStandardHelpOptions = true,
        description = "Runs a router until SIGTERM or SIGINT; SIGHUP reloads the settings.")
final class RouteCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(RouteCommand.class);

    @Parameters(paramLabel = "CONFIG", description = "Settings file of the router.")
    private Path file;

    private final CountDownLatch stopRequested = new CountDownLatch(1);

    @Override
    public Integer call() throws Exception {
        RouterConfig config = RouterConfigReader.read(file);
        FileLock lock = config.stateDir() == null ? null : lock(config.stateDir());
        Router router = new Router(config);
        FleetMember member =
                FleetRouter.createMember(
                        config,
                        router,
                        stopRequested::countDown); // stored drains apply before the first query
        CountDownLatch stopped = new CountDownLatch(1);
        router.start();
        if (member != null) {
            member.start();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> requestStopAndWait(stopped), "stop"));
        Signals.handle("HUP", () -> reload(router));
        System.out.println("listening on " + router.address());
        if (router.httpAddress() != null) {
            System.out.println("listening for HTTP on " + router.httpAddress());
        }
        if (member != null) {
            System.out.println("listening for control on " + member.address());
        }
        try {
            stopRequested.await();
            router.stop();
            if (member != null) {
                member.close();
            }
            if (lock != null) {
                lock.channel().close();
            }
        } finally {
            stopped.countDown();
        }
        return 0;
    }

    private void requestStopAndWait(CountDownLatch stopped) {
        stopRequested.countDown();
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Locks a state directory, which only one process can use. The file {@code router.pid} contains
     * the process ID and is locked while the process runs.
     */
    private static FileLock lock(Path directory) throws IOException {
        Files.createDirectories(directory);
        FileChannel pidFile =
                FileChannel.open(
                        directory.resolve("router.pid"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = pidFile.tryLock();
        if (lock == null) {
            pidFile.close();
            throw new IOException("state directory " + directory + " is in use by another router");
        }
        pidFile.truncate(0);
        pidFile.write(
                ByteBuffer.wrap(
                        (ProcessHandle.current().pid() + "\n")
                                .getBytes(StandardCharsets.US_ASCII)));
        return lock;
    }

    private void reload(Router router) {
        try {
            router.reload(RouterConfigReader.read(file));
        } catch (ConfigException e) {
            LOG.error(
                    "settings reload failed, keeping the current settings file={} error=\"{}\"",
                    file,
                    e.getMessage());
        }
    }
}
