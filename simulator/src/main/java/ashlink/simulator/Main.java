package ashlink.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** The command {@code simulate}, which serves the simulator on standard input and output. */
public final class Main {

    /** The command and its alias, which is the former name of the command. */
    private static final Set<String> COMMANDS = Set.of("simulate", "drill");

    private static final int BUFFER_CHARS = 1 << 16;
    private static final int EXIT_PROTOCOL_ERROR = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the command until end of input.
     *
     * <p>Exits with status 2 if the arguments are invalid, and with status 1 if the input violates
     * the protocol.
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !COMMANDS.contains(args[0])) {
            System.err.println("usage: java -jar ashlink.jar simulate");
            System.exit(EXIT_USAGE);
        }
        var in =
                new BufferedReader(
                        new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
        var out =
                new BufferedWriter(
                        new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_CHARS);
        try {
            new SimulatorAdapter().run(in, out);
        } catch (SimulatorProtocolException e) {
            System.err.println("ashlink: " + e.getMessage());
            System.exit(EXIT_PROTOCOL_ERROR);
        }
    }
}
