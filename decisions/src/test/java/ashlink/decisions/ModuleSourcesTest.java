package ashlink.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests the source files of the module: their line length and their listing in the deployment file.
 */
class ModuleSourcesTest {

    @Test
    void noSourceLineIsLongerThan110Characters() throws IOException {
        for (Path source : sources()) {
            List<String> longLines = new ArrayList<>(Files.readAllLines(source));
            longLines.removeIf(line -> line.length() <= 110);
            assertEquals(List.of(), longLines, source.toString());
        }
    }

    @Test
    void deployFileListsEverySource() throws IOException {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        int start = deploy.indexOf("policy = [");
        String policy = deploy.substring(start, deploy.indexOf(']', start));
        Set<String> listed = new TreeSet<>();
        Matcher matcher = Pattern.compile("\"decisions/([^\"]+)\"").matcher(policy);
        while (matcher.find()) {
            listed.add(matcher.group(1));
        }
        Set<String> existing = new TreeSet<>();
        for (Path source : sources()) {
            existing.add(source.toString());
        }
        assertEquals(existing, listed);
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            List<Path> sources =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.endsWith("package-info.java"))
                            .toList();
            assertTrue(sources.size() > 2, sources.toString());
            return sources;
        }
    }
}
