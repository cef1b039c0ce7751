package ashlink.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Command line of the jar: {@code simulate} plays the simulator's wire on standard input and
 * output.
 */
public final class Main {

    /** The command, and the name that it had before 0.3. */
    private static final Set<String> COMMANDS = Set.of("simulate", "drill");

    private Main() {}

    /** Runs the named command; exit status 2 is a wrong call, 1 a line that cannot be read. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !COMMANDS.contains(args[0])) {
            System.err.println("usage: java -jar ashlink.jar simulate");
            System.exit(2);
        }
        var in =
                new BufferedReader(
                        new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out =
                new BufferedWriter(
                        new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16);
        try {
            new SimulatorAdapter().run(in, out);
        } catch (SimulatorProtocolException e) {
            System.err.println("ashlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
