package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The examples of docs/statement-api.md return the status that their comment states. */
class CurlExamplesTest {

    @Test
    void eachExampleReturnsItsDocumentedStatus() throws Exception {
        List<String> examples =
                Files.readAllLines(Path.of("../docs/statement-api.md")).stream()
                        .filter(line -> line.startsWith("curl "))
                        .toList();
        assertTrue(examples.size() >= 10);
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a", "q2:typ-a").with("(http (listen 127.0.0.1:0))").start()) {
            for (String example : examples) {
                int comment = example.lastIndexOf('#');
                ProcessBuilder processBuilder =
                        new ProcessBuilder(
                                        "bash",
                                        "-c",
                                        example.substring(0, comment)
                                                .replaceFirst(
                                                        "^curl", "curl -w '\\\\n%{http_code}'"))
                                .redirectErrorStream(true);
                processBuilder
                        .environment()
                        .put("SERVER", "http://127.0.0.1:" + fleet.router.httpAddress().getPort());
                Process process = processBuilder.start();
                process.getOutputStream().close();
                String output =
                        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
                assertEquals(
                        example.substring(comment + 1).trim(),
                        output.substring(output.lastIndexOf('\n') + 1),
                        example + "\n" + output);
            }
        }
    }
}
