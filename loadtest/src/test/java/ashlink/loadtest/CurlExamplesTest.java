package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The examples of docs/statement-api.md do what they say. */
class CurlExamplesTest {

    @Test
    void eachExampleAnswersWithItsStatus() throws Exception {
        List<String> examples =
                Files.readAllLines(Path.of("../docs/statement-api.md")).stream()
                        .filter(l -> l.startsWith("curl "))
                        .toList();
        assertTrue(examples.size() >= 10);
        try (Fleet fleet =
                Fleet.of("q1:typ-a", "q2:typ-a").with("(http (listen 127.0.0.1:0))").start()) {
            for (String e : examples) {
                int comment = e.lastIndexOf('#');
                ProcessBuilder processBuilder =
                        new ProcessBuilder(
                                        "bash",
                                        "-c",
                                        e.substring(0, comment)
                                                .replaceFirst(
                                                        "^curl", "curl -w '\\\\n%{http_code}'"))
                                .redirectErrorStream(true);
                processBuilder
                        .environment()
                        .put("SERVER", "http://127.0.0.1:" + fleet.router.httpAddress().getPort());
                Process process = processBuilder.start();
                process.getOutputStream().close();
                String out =
                        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
                assertEquals(
                        e.substring(comment + 1).trim(),
                        out.substring(out.lastIndexOf('\n') + 1),
                        e + "\n" + out);
            }
        }
    }
}
