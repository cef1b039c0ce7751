package ashlink.control.member;

import ashlink.capture.log.FolderDisk;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import java.io.IOException;
import java.nio.file.Path;

/** Writes the command log that {@link StoredCommandLogTest} reads, in two starts of a router. */
final class StoredDataRecorder {

    static final long HOUR_MS = 3_600_000L;
    static final long DAY_MS = 24 * HOUR_MS;
    static final long START_MS = 1_700_000_000_000L;

    private final ReplicatedCommandSet set = emptySet();
    private final CommandLog log;
    private long nowMs;

    private StoredDataRecorder(Path directory, long nowMs) throws IOException {
        this.nowMs = nowMs;
        this.log = new CommandLog(FolderDisk.writing(directory), set, nowMs);
    }

    /** Creates an empty set with the limits of a router. */
    static ReplicatedCommandSet emptySet() {
        return new ReplicatedCommandSet(1_000, 30 * DAY_MS, 60 * DAY_MS);
    }

    /** Writes the directory {@code notices} into the directory given as the first argument. */
    public static void main(String[] args) throws IOException {
        Path directory = Path.of(args[0]).resolve("notices");
        firstStart(directory);
        secondStart(directory);
    }

    private static void firstStart(Path directory) throws IOException {
        StoredDataRecorder router = new StoredDataRecorder(directory, START_MS);
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
        router.log.close();
    }

    private static void secondStart(Path directory) throws IOException {
        StoredDataRecorder router = new StoredDataRecorder(directory, START_MS + 2 * HOUR_MS);
        router.put(
                OperatorCommand.engine("q4"), "ann", 3, Intent.DRAIN, "ann", "weaker", 2 * DAY_MS);
        router.put(
                OperatorCommand.engine("q4"), "ann", 3, Intent.STOP, "ann", "stronger", 2 * DAY_MS);
        router.put(
                OperatorCommand.engine("q5"), "ann", 2, Intent.DRAIN, "ann", "memory", 2 * DAY_MS);
        router.log.close();
    }

    private void put(
            String subject,
            String owner,
            long revision,
            Intent intent,
            String issuer,
            String reason,
            long ttlMs)
            throws IOException {
        OperatorCommand command =
                new OperatorCommand(subject, owner, revision, intent, issuer, reason);
        set.add(command, ttlMs, ++nowMs);
        log.put(command, ttlMs, nowMs);
    }
}
