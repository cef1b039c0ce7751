package ashlink.simulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** The transcript format: gzip-compressed text with a prefix on each line for input or output. */
final class Transcript {

    /** Suffix of the file name of a transcript. */
    static final String SUFFIX = ".txt.gz";

    /** Prefix of an input line. */
    static final String IN = "> ";

    /** Prefix of an output line. */
    static final String OUT = "< ";

    private static final Set<String> NON_EVENT_LINES = Set.of("SYNC", "END", "LIST", "M");

    private Transcript() {}

    /** Reads the lines of a file, with their prefixes. */
    static List<String> read(Path file) throws IOException {
        try (var in = new GZIPInputStream(Files.newInputStream(file))) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Writes lines with their prefixes to a file. */
    static void write(Path file, List<String> lines) throws IOException {
        try (var out = new GZIPOutputStream(Files.newOutputStream(file))) {
            out.write((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Returns true if a line is an event and not the delimiter of a batch or part of a list. */
    static boolean isEvent(String line) {
        return line.startsWith(IN)
                && !NON_EVENT_LINES.contains(line.substring(IN.length()).split(" ", 2)[0]);
    }
}
