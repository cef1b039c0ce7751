package ashlink.emulator;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Record of the statements that an emulated engine received and executed, written by the engine
 * when each event happens. Times are values of {@link System#nanoTime}.
 */
public final class Ledger {

    /** Outcome of a statement at the engine. */
    public enum Outcome {
        OPEN,
        ANSWERED,
        ERROR,
        ANSWER_LOST,
        CONNECTION_LOST,
        DROPPED,
        CRASHED,
        TURNED_AWAY,
        NO_DATA
    }

    /** A statement that an engine received. */
    public static final class Entry {
        public final String engine;
        public final String kind;
        public final String zone;
        public final String router;
        public final String queryId;
        public final String tag;
        public final String key;
        public final double workMs;
        public final long beganNs;
        private volatile long ranNs;
        private volatile long effectNs;
        private volatile long endedNs;
        private volatile long releasedNs;
        private volatile Outcome outcome = Outcome.OPEN;

        Entry(
                String engine,
                String kind,
                String zone,
                String router,
                String queryId,
                WorkHints hints,
                long beganNs) {
            this.engine = engine;
            this.kind = kind;
            this.zone = zone;
            this.router = router;
            this.queryId = queryId;
            this.tag = hints.text("tag", "");
            this.key = hints.text("key", "");
            this.workMs = hints.number("work_ms", 1);
            this.beganNs = beganNs;
        }

        /** Returns the time at which the statement's input was complete; 0 if it never was. */
        public long ranNs() {
            return ranNs;
        }

        /** Returns the time at which the statement's work was done; 0 if it was not. */
        public long effectNs() {
            return effectNs;
        }

        /** Returns the time at which the engine finished the statement; 0 while it has not. */
        public long endedNs() {
            return endedNs;
        }

        /**
         * Returns the time at which the engine noticed that the client no longer waits for the
         * statement; 0 if it did not.
         */
        public long releasedNs() {
            return releasedNs;
        }

        /** Returns the outcome; {@link Outcome#OPEN} until the statement ends. */
        public Outcome outcome() {
            return outcome;
        }

        void markRan() {
            ranNs = System.nanoTime();
        }

        void markReleased() {
            releasedNs = releasedNs == 0 ? System.nanoTime() : releasedNs;
        }

        void markEffect() {
            effectNs = System.nanoTime();
        }
    }

    private static final int MAX_ENTRIES = 5_000_000;

    private final List<Entry> entries = new ArrayList<>();
    private final BufferedWriter file;

    /**
     * Creates a ledger in memory, and in a file if {@code path} is not null. An existing file is
     * appended to.
     */
    public Ledger(Path path) throws IOException {
        file =
                path == null
                        ? null
                        : Files.newBufferedWriter(
                                path,
                                StandardCharsets.UTF_8,
                                StandardOpenOption.CREATE,
                                StandardOpenOption.APPEND);
    }

    synchronized void begin(Entry entry) {
        if (entries.size() >= MAX_ENTRIES) {
            throw new IllegalStateException("ledger is full: at most " + MAX_ENTRIES + " entries");
        }
        entries.add(entry);
        write("begin", entry);
    }

    void end(Entry entry, Outcome outcome) {
        if (entry.outcome == Outcome.OPEN) {
            entry.outcome = outcome;
            entry.endedNs = System.nanoTime();
            write("end", entry);
        }
    }

    private synchronized void write(String event, Entry entry) {
        if (file != null) {
            try {
                file.write(
                        System.currentTimeMillis()
                                + "\t"
                                + event
                                + "\t"
                                + entry.engine
                                + "\t"
                                + entry.router
                                + "\t"
                                + entry.queryId
                                + "\t"
                                + entry.tag
                                + "\t"
                                + (entry.ranNs > 0 ? "ran" : "not run")
                                + "\t"
                                + entry.outcome
                                + "\n");
                file.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Returns a copy of all entries, in the order in which the statements arrived. */
    public synchronized List<Entry> entries() {
        return new ArrayList<>(entries);
    }
}
