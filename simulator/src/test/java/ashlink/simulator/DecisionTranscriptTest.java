package ashlink.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that recorded input leads to exactly the recorded decisions, byte for byte. This test must
 * pass unchanged after a refactoring. A change that affects decisions records new transcripts with
 * {@link TranscriptRecorder} and mentions the new recording in the commit message.
 */
class DecisionTranscriptTest {

    private static final int MIN_EVENTS = 2_000;
    private static final int MIN_ACTIONS = 1_000;

    /** An expected line of a reply, with the line number in the file and the time of the batch. */
    private record ExpectedLine(int fileLine, String timeNs, String text) {}

    /** Returns the transcripts by file name. */
    static Stream<Named<Path>> transcripts() throws Exception {
        var directory = DecisionTranscriptTest.class.getResource("/transcripts");
        assertTrue(directory != null, "directory /transcripts is missing in the test resources");
        try (Stream<Path> files = Files.list(Path.of(directory.toURI()))) {
            return files
                    .sorted()
                    .map(file -> Named.of(file.getFileName().toString(), file))
                    .toList()
                    .stream();
        }
    }

    /** Checks that each scenario has a transcript and each transcript has a scenario. */
    @Test
    void scenariosAndTranscriptsMatch() throws Exception {
        var recorded =
                transcripts().map(Named::getName).collect(Collectors.toCollection(TreeSet::new));
        var scenarios =
                Scenarios.all().stream()
                        .map(scenario -> scenario.name() + Transcript.SUFFIX)
                        .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(scenarios, recorded);
    }

    /** Sends the input of one transcript to the adapter and compares every line of the replies. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("transcripts")
    void decisionsMatchTheTranscript(Path file) throws IOException {
        String name = file.getFileName().toString();
        List<String> lines = Transcript.read(file);
        long events = lines.stream().filter(Transcript::isEvent).count();
        assertTrue(
                events >= MIN_EVENTS,
                name + " has " + events + " events: at least " + MIN_EVENTS + " are required");
        List<ExpectedLine> expected = expectedLines(lines);
        long actions = expected.stream().filter(line -> !line.text().equals("OK")).count();
        assertTrue(
                actions >= MIN_ACTIONS,
                name
                        + " expects "
                        + actions
                        + " actions: at least "
                        + MIN_ACTIONS
                        + " are required");
        compare(name, expected, sendInput(lines));
    }

    private static List<ExpectedLine> expectedLines(List<String> lines) {
        List<ExpectedLine> expected = new ArrayList<>();
        String timeNs = "none";
        for (int i = 0; i < lines.size(); i++) {
            String text = lines.get(i).substring(Transcript.IN.length());
            if (lines.get(i).startsWith(Transcript.OUT)) {
                expected.add(new ExpectedLine(i + 1, timeNs, text));
            } else if (text.startsWith("SYNC ")) {
                timeNs = LineFields.of(text).required("moment-ns");
            }
        }
        return expected;
    }

    private static List<String> sendInput(List<String> lines) throws IOException {
        String input =
                lines.stream()
                        .filter(line -> line.startsWith(Transcript.IN))
                        .map(line -> line.substring(Transcript.IN.length()) + "\n")
                        .collect(Collectors.joining());
        StringWriter replies = new StringWriter();
        new SimulatorAdapter().run(new BufferedReader(new StringReader(input)), replies);
        return replies.toString().lines().toList();
    }

    private static void compare(String file, List<ExpectedLine> expected, List<String> actual) {
        ExpectedLine end = new ExpectedLine(-1, "end of transcript", null);
        for (int i = 0; i < Math.max(expected.size(), actual.size()); i++) {
            ExpectedLine expectedLine = i < expected.size() ? expected.get(i) : end;
            String actualLine = i < actual.size() ? actual.get(i) : null;
            if (!Objects.equals(expectedLine.text(), actualLine)) {
                fail(
                        file
                                + " line "
                                + expectedLine.fileLine()
                                + ", at "
                                + expectedLine.timeNs()
                                + " ns\n"
                                + " expected: "
                                + expectedLine.text()
                                + "\n actual:   "
                                + actualLine);
            }
        }
    }
}
