package ashlink.control.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ashlink.capture.log.FolderDisk;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the command log that a router of an earlier build wrote in two starts is read with the
 * same commands. The log is {@code src/test/resources/stored/notices}; the README next to it
 * describes how it was written.
 */
class StoredCommandLogTest {

    private static final long NOW_MS = StoredDataRecorder.START_MS + 3 * StoredDataRecorder.HOUR_MS;

    /** Subject, owner, revision, intent code, issuer, reason, remaining time to live in ms. */
    private static final List<String> EXPECTED_COMMANDS =
            List.of(
                    "engine:q1|ann|2|0|root|done|75600003",
                    "engine:q1|böb|1|2|böb|Größe|2581200002",
                    "engine:q3|ann|1|1|ann|short|-7199995",
                    "engine:q4|ann|3|2|ann|stronger|169200002",
                    "engine:q5|ann|2|1|ann|memory|169200003",
                    "router:r2|ann|9223372036854775807|2|ann||853200004");

    /** Subject, owner, digest. */
    private static final List<String> EXPECTED_DIGESTS =
            List.of(
                    "engine:q1|ann|2020926760",
                    "engine:q1|böb|-1838468933",
                    "engine:q3|ann|2078780835",
                    "engine:q4|ann|-496359479",
                    "engine:q5|ann|948898757",
                    "router:r2|ann|1372111154");

    @TempDir Path directory;

    @BeforeEach
    void copyStoredLog() throws Exception {
        Path stored = Path.of(StoredCommandLogTest.class.getResource("/stored/notices").toURI());
        try (Stream<Path> files = Files.list(stored)) {
            for (Path file : files.toList()) {
                Files.copy(file, directory.resolve(file.getFileName().toString()));
            }
        }
    }

    private ReplicatedCommandSet readLog() throws IOException {
        ReplicatedCommandSet set = StoredDataRecorder.emptySet();
        new CommandLog(FolderDisk.writing(directory), set, NOW_MS).close();
        return set;
    }

    private static List<String> lines(ReplicatedCommandSet set) {
        return set.commands(NOW_MS).stream()
                .map(entry -> line(entry.command(), entry.ttlMs()))
                .toList();
    }

    private static String line(OperatorCommand command, long ttlMs) {
        return String.join(
                "|",
                command.subject(),
                command.owner(),
                "" + command.revision(),
                "" + command.intent().ordinal(),
                command.issuer(),
                command.reason(),
                "" + ttlMs);
    }

    @Test
    void commandsAreReadAsWritten() throws Exception {
        assertEquals(EXPECTED_COMMANDS, lines(readLog()));
    }

    @Test
    void rewrittenLogIsReadTheSame() throws Exception {
        readLog();
        assertEquals(EXPECTED_COMMANDS, lines(readLog()));
    }

    @Test
    void strongestIntentInForceIsReadForEachSubject() throws Exception {
        assertEquals(
                Map.of(
                        "engine:q1",
                        Intent.STOP,
                        "engine:q4",
                        Intent.STOP,
                        "engine:q5",
                        Intent.DRAIN,
                        "router:r2",
                        Intent.STOP),
                readLog().intents(NOW_MS));
    }

    /** Routers of different builds compare these digests. */
    @Test
    void digestsAreThoseOfTheEarlierBuild() throws Exception {
        List<String> digests = new ArrayList<>();
        readLog()
                .digest()
                .forEach(
                        (key, digest) ->
                                digests.add(key.subject() + "|" + key.owner() + "|" + digest));
        assertEquals(EXPECTED_DIGESTS, digests);
    }

    /** Intents are stored as numbers in this order; another order would change their meaning. */
    @Test
    void intentsKeepTheirOrder() {
        assertEquals(List.of(Intent.NONE, Intent.DRAIN, Intent.STOP), List.of(Intent.values()));
    }
}
