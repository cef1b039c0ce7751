package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: a line for each thing sent, answered or run, with milliseconds since the start. */
final class Record implements AutoCloseable {

    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    static long nowMs() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void log(String text) {
        out.println(String.format("%8d ", nowMs()) + text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        log(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
