package ashlink.cli;

import ashlink.fleet.supervise.RestartPolicy;
import ashlink.fleet.supervise.RestartPolicy.Decision;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Runs a router in a child process and restarts it when it fails. */
@Command(
        name = "supervise",
        mixinStandardHelpOptions = true,
        description =
                "Runs a router and restarts it when it fails: immediately after a long run, with an"
                        + " increasing delay after short runs. Exits when the router stops on"
                        + " request.")
final class SuperviseCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(SuperviseCommand.class);

    @Parameters(paramLabel = "CONFIG", description = "Settings file of the router.")
    private Path file;

    private volatile Process child;
    private volatile boolean stopRequested;

    /** Returns the command line that runs this program with the given arguments. */
    static List<String> commandLine(String... arguments) {
        List<String> command =
                new java.util.ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName()));
        command.addAll(List.of(arguments));
        return command;
    }

    @Override
    public Integer call() throws Exception {
        RestartPolicy restartPolicy = new RestartPolicy(RestartPolicy.RestartLimits.DEFAULT);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopChild, "end"));
        while (true) {
            long startNs = System.nanoTime();
            child = new ProcessBuilder(commandLine("route", file.toString())).inheritIO().start();
            int status = child.waitFor();
            Decision decision =
                    restartPolicy.onExit(startNs, System.nanoTime(), status, stopRequested);
            switch (decision.action()) {
                case NONE -> {
                    return 0;
                }
                case GIVE_UP -> {
                    LOG.error("router rejected its settings, not restarted file={}", file);
                    return 2;
                }
                case RESTART ->
                        LOG.warn(
                                "router failed, restarting statusCode={} delayMs={}",
                                status,
                                decision.backoffNs() / 1_000_000);
                case CRASH_LOOP ->
                        LOG.error(
                                "router crash loop, restarting statusCode={} delayMs={}",
                                status,
                                TimeUnit.NANOSECONDS.toMillis(decision.backoffNs()));
                default ->
                        throw new IllegalStateException(
                                "unknown restart action " + decision.action());
            }
            TimeUnit.NANOSECONDS.sleep(decision.backoffNs());
        }
    }

    private void stopChild() {
        stopRequested = true;
        Process process = child;
        if (process != null) {
            process.destroy();
            try {
                process.waitFor(60, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
