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
                "Reads a password from the terminal or from a line of standard input, and prints a"
                        + " salted hash of the password.")
final class HashPasswordCommand implements Callable<Integer> {

    @Option(
            names = "--cost",
            description = "Cost factor, 4 to 31; each step doubles the time to check a password.",
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
