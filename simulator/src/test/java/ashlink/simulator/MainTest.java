package ashlink.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the adapter as a process: arguments, exit status and output. */
class MainTest {

    private record Run(int status, String out, String err) {}

    private static Run run(String input, String... args) throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "ashlink.simulator.Main"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).start();
        try (var in = process.getOutputStream()) {
            in.write(input.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // A process with invalid arguments exits before it reads the input.
        }
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Run(process.waitFor(), out, err);
    }

    @Test
    void invalidArgumentsPrintTheUsage() throws Exception {
        for (String[] args : new String[][] {{}, {"other"}, {"drill", "more"}}) {
            Run run = run("", args);
            assertEquals(2, run.status());
            assertTrue(run.err().startsWith("usage: "), run.err());
            assertEquals("", run.out());
        }
    }

    @Test
    void endOfInputExitsWithSuccess() throws Exception {
        Run run = run("SYNC moment-ns=5\nEND\n\nSYNC moment-ns=6\nEND\n", "drill");
        assertEquals(new Run(0, "OK\nOK\n", ""), run);
    }

    @Test
    void malformedLineIsReportedWithItsNumber() throws Exception {
        Run run = run("SYNC moment-ns=5\nEND\nSYNC moment-ns=soon\nEND\n", "drill");
        assertEquals(1, run.status());
        assertTrue(run.err().startsWith("ashlink: line 3: "), run.err());
        assertEquals("OK\n", run.out());
    }

    @Test
    void formerCommandNameWorksAsAnAlias() throws Exception {
        String input = "SYNC moment-ns=5\nEND\nSYNC moment-ns=6\nEND\n";
        Run command = run(input, "simulate");
        assertEquals(new Run(0, "OK\nOK\n", ""), command);
        assertEquals(command, run(input, "drill"));
    }
}
