package ashlink.cli;

import ashlink.config.Passwords;
import java.io.Console;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Hashes a password for the settings of a router. */
@Command(
        name = "hash-password",
        mixinStandardHelpOptions = true,
        description =
                "Reads a password from the terminal, or a line of standard input, and prints its"
                        + " salted hash.")
final class HashPasswordCommand implements Callable<Integer> {

    @Option(
            names = "--cost",
            description = "Cost of a check, doubled by each step: 4 to 31.",
            defaultValue = "10")
    private int cost;

    @Override
    public Integer call() throws Exception {
        Console console = System.console();
        String password =
                console != null
                        ? new String(console.readPassword("password: "))
                        : new java.io.BufferedReader(new java.io.InputStreamReader(System.in))
                                .readLine();
        System.out.println(Passwords.hash(password == null ? "" : password, cost));
        return 0;
    }
}
