package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router that is started by 'run' of the deploy file, as the platform starts it. */
final class RouterProcess {

    final int port;
    private final Path root;
    private final Path folder;
    private final Path config;
    private Process process;

    RouterProcess(Path root, Path folder, String journal, String known, int memoryMb, int sockets, String settings)
            throws IOException {
        this.root = root;
        this.folder = folder;
        this.port = freePort();
        this.config = folder.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\n"
                        + "\"journal\":\"" + journal + "\",\n"
                        + "\"known\":{\"pos\":1,\"entries\":[" + known + "]},\n"
                        + "\"settings\":" + settings + "}\n");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts the router and waits until it says that it is ready. */
    void start(Record record) throws Exception {
        String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("no run in the deploy file");
        }
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.environment().put("LB_NAME", "n1");
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Path log = folder.resolve("router.log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        long untilMs = Record.nowMs() + 30_000;
        while (Record.nowMs() < untilMs && process.isAlive()) {
            try (Client client = new Client("readiness", port, record)) {
                if (client.askReady().get(2, TimeUnit.SECONDS) == 0) {
                    record.say("router ready, process " + process.pid());
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Daemons.pause(50);
        }
        throw new IllegalStateException("the router is not ready: " + Files.readString(log));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    Process process() {
        return process;
    }

    /** Returns the router's log. */
    String log() throws IOException {
        return Files.readString(folder.resolve("router.log"));
    }

    /** Kills the router, as the platform may at any time. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Ends the router if it runs. */
    void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
