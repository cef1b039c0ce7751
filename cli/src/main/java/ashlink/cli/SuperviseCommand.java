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
                "Runs a router, and starts it again when it dies: at once after a good while, later"
                        + " and later after short runs. Ends when the router ends as it was told.")
final class SuperviseCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(SuperviseCommand.class);

    @Parameters(paramLabel = "CONFIG", description = "Settings of the router.")
    private Path file;

    private volatile Process child;
    private volatile boolean asked;

    /** Returns the command line that runs this program with the given arguments. */
    static List<String> ownCommand(String... arguments) {
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
        RestartPolicy restarts = new RestartPolicy(RestartPolicy.RestartLimits.DEFAULT);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
        while (true) {
            long from = System.nanoTime();
            child = new ProcessBuilder(ownCommand("route", file.toString())).inheritIO().start();
            int status = child.waitFor();
            Decision decision = restarts.onExit(from, System.nanoTime(), status, asked);
            switch (decision.action()) {
                case NONE -> {
                    return 0;
                }
                case GIVE_UP -> {
                    LOG.error("the router does not start with these settings");
                    return 2;
                }
                case RESTART ->
                        LOG.warn(
                                "the router died with status {}; it starts again in {} ms",
                                status,
                                decision.backoffNs() / 1_000_000);
                case CRASH_LOOP ->
                        LOG.error(
                                "the router dies again and again, now with status {}; next start in"
                                        + " {} s",
                                status,
                                TimeUnit.NANOSECONDS.toSeconds(decision.backoffNs()));
            }
            TimeUnit.NANOSECONDS.sleep(decision.backoffNs());
        }
    }

    private void end() {
        asked = true;
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
