package ashlink.simulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** The form of a transcript: a packed text whose lines are marked as input or as output. */
final class Transcript {

    /** Ending of the name of a transcript's file. */
    static final String SUFFIX = ".txt.gz";

    /** Mark of a line that went in. */
    static final String IN = "> ";

    /** Mark of a line that came out. */
    static final String OUT = "< ";

    private static final Set<String> FRAME = Set.of("SYNC", "END", "LIST", "M");

    private Transcript() {}

    /** The marked lines of a file. */
    static List<String> read(Path file) throws IOException {
        try (var in = new GZIPInputStream(Files.newInputStream(file))) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Writes marked lines to a file. */
    static void write(Path file, List<String> lines) throws IOException {
        try (var out = new GZIPOutputStream(Files.newOutputStream(file))) {
            out.write((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    /** True for a line that tells of an event, and does not only frame a batch or a list. */
    static boolean isEvent(String line) {
        return line.startsWith(IN) && !FRAME.contains(line.substring(IN.length()).split(" ", 2)[0]);
    }
}
