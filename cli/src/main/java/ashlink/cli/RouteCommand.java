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

/** Runs a router until the process is told to stop. */
@Command(
        name = "route",
        mixinStandardHelpOptions = true,
        description = "Runs a router until SIGTERM or SIGINT; SIGHUP reloads the settings.")
final class RouteCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(RouteCommand.class);

    @Parameters(paramLabel = "CONFIG", description = "Settings file of the router.")
    private Path file;

    private final CountDownLatch told = new CountDownLatch(1);

    @Override
    public Integer call() throws Exception {
        RouterConfig config = RouterConfigReader.read(file);
        FileLock lock = config.stateDir() == null ? null : lock(config.stateDir());
        Router router = new Router(config);
        FleetMember node =
                FleetRouter.of(
                        config,
                        router,
                        told::countDown); // stored drains apply before the first query
        CountDownLatch ended = new CountDownLatch(1);
        router.start();
        if (node != null) {
            node.start();
        }
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    told.countDown();
                                    try {
                                        ended.await();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                },
                                "stop"));
        Signals.handle("HUP", () -> reload(router));
        System.out.println("listening on " + router.address());
        if (router.httpAddress() != null) {
            System.out.println("listening for HTTP on " + router.httpAddress());
        }
        if (node != null) {
            System.out.println("listening for control on " + node.address());
        }
        try {
            told.await();
            router.stop();
            if (node != null) {
                node.close();
            }
            if (lock != null) {
                lock.channel().close();
            }
        } finally {
            ended.countDown();
        }
        return 0;
    }

    /**
     * Locks a state directory, which only one process can use. The file {@code router.pid} contains
     * the process ID and is locked while the process runs.
     */
    private static FileLock lock(Path dir) throws IOException {
        Files.createDirectories(dir);
        FileChannel pid =
                FileChannel.open(
                        dir.resolve("router.pid"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = pid.tryLock();
        if (lock == null) {
            pid.close();
            throw new IOException("state directory " + dir + " is in use by another router");
        }
        pid.truncate(0);
        pid.write(
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
