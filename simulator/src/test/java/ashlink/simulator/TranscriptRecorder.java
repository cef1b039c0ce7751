package ashlink.simulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Records the transcripts of {@link DecisionTranscriptTest} from the code as it is. It runs by
 * hand, and only when decisions are meant to change; the folder to write to is its argument.
 */
final class TranscriptRecorder {

    private TranscriptRecorder() {}

    /** Records every scenario into the folder {@code outDir[0]}, and tells the events of each. */
    public static void main(String[] outDir) throws IOException {
        Path folder = Files.createDirectories(Path.of(outDir[0]));
        for (Scenario scenario : Scenarios.all()) {
            List<String> lines = new ScriptedWorld(scenario).record();
            Path file = folder.resolve(scenario.name() + Transcript.SUFFIX);
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
