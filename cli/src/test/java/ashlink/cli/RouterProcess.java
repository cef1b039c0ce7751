package ashlink.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts routers as processes of their own, which a test kills. */
final class RouterProcess {

    private RouterProcess() {}

    /**
     * Starts a router, whose standard output the test reads.
     *
     * @param jvmOptions further options of the JVM
     */
    static Process start(Path config, String... jvmOptions) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(jvmOptions));
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "ashlink.cli.Main",
                        "route",
                        config.toString()));
        return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    }
}
