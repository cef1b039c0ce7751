package ashlink.control.member;

import ashlink.capture.log.FolderDisk;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import java.io.IOException;
import java.nio.file.Path;

/** Writes the journal of notices that {@link StoredNoticesTest} reads: two starts of a router. */
final class StoredDataRecorder {

    static final long HOUR_MS = 3_600_000L;
    static final long DAY_MS = 24 * HOUR_MS;
    static final long START_MS = 1_700_000_000_000L;

    private final ReplicatedCommandSet set = emptySet();
    private final CommandLog journal;
    private long nowMs;

    private StoredDataRecorder(Path folder, long nowMs) throws IOException {
        this.nowMs = nowMs;
        this.journal = new CommandLog(FolderDisk.writing(folder), set, nowMs);
    }

    /** A set as a router has it. */
    static ReplicatedCommandSet emptySet() {
        return new ReplicatedCommandSet(1_000, 30 * DAY_MS, 60 * DAY_MS);
    }

    /** Writes the folder {@code notices} into the folder that is named. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[0]).resolve("notices");
        firstStart(folder);
        secondStart(folder);
    }

    private static void firstStart(Path folder) throws IOException {
        StoredDataRecorder router = new StoredDataRecorder(folder, START_MS);
        router.put(OperatorCommand.engine("q1"), "ann", 1, Intent.DRAIN, "ann", "disk", DAY_MS);
        router.put(
                OperatorCommand.engine("q1"), "böb", 1, Intent.STOP, "böb", "Größe", 30 * DAY_MS);
        router.put(OperatorCommand.engine("q1"), "ann", 2, Intent.NONE, "root", "done", DAY_MS);
        router.put(
                OperatorCommand.router("r2"),
                "ann",
                Long.MAX_VALUE,
                Intent.STOP,
                "ann",
                "",
                10 * DAY_MS);
        router.put(OperatorCommand.engine("q3"), "ann", 1, Intent.DRAIN, "ann", "short", HOUR_MS);
        router.journal.close();
    }

    private static void secondStart(Path folder) throws IOException {
        StoredDataRecorder router = new StoredDataRecorder(folder, START_MS + 2 * HOUR_MS);
        router.put(
                OperatorCommand.engine("q4"), "ann", 3, Intent.DRAIN, "ann", "weaker", 2 * DAY_MS);
        router.put(
                OperatorCommand.engine("q4"), "ann", 3, Intent.STOP, "ann", "stronger", 2 * DAY_MS);
        router.put(
                OperatorCommand.engine("q5"), "ann", 2, Intent.DRAIN, "ann", "memory", 2 * DAY_MS);
        router.journal.close();
    }

    private void put(
            String subject,
            String owner,
            long revision,
            Intent intent,
            String by,
            String why,
            long leftMs)
            throws IOException {
        OperatorCommand notice = new OperatorCommand(subject, owner, revision, intent, by, why);
        set.add(notice, leftMs, ++nowMs);
        journal.put(notice, leftMs, nowMs);
    }
}
