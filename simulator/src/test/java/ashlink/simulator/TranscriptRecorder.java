package ashlink.simulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Records the transcripts of {@link DecisionTranscriptTest}. Run manually, and only for an
 * intentional change of decisions.
 */
final class TranscriptRecorder {

    private TranscriptRecorder() {}

    /** Records every scenario to the directory {@code args[0]} and prints the transcript sizes. */
    public static void main(String[] args) throws IOException {
        Path directory = Files.createDirectories(Path.of(args[0]));
        for (Scenario scenario : Scenarios.all()) {
            List<String> lines = new ScriptedCluster(scenario).record();
            Path file = directory.resolve(scenario.name() + Transcript.SUFFIX);
            Transcript.write(file, lines);
            long events = lines.stream().filter(Transcript::isEvent).count();
            System.out.println(
                    scenario.name()
                            + ": "
                            + events
                            + " events, "
                            + lines.size()
                            + " lines, "
                            + Files.size(file)
                            + " bytes");
        }
    }
}
