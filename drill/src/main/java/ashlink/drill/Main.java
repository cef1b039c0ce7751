package ashlink.drill;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/**
 * Command line of the jar: {@code drill} plays the simulator's wire on standard input and output.
 */
public final class Main {

    private Main() {}

    /** Runs the named command; exit status 2 is a wrong call, 1 a line that cannot be read. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar ashlink.jar drill");
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
