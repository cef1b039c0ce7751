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
 * The journal of notices that a router of an earlier build left, after two starts, gives the
 * notices that it knew. It is {@code src/test/resources/stored/notices}; the README beside tells
 * how it was written.
 */
class StoredNoticesTest {

    private static final long NOW_MS = StoredDataRecorder.START_MS + 3 * StoredDataRecorder.HOUR_MS;

    /** Subject, owner, revision, number of the intent, by, why, milliseconds left. */
    private static final List<String> EXPECTED =
            List.of(
                    "engine:q1|ann|2|0|root|done|75600003",
                    "engine:q1|böb|1|2|böb|Größe|2581200002",
                    "engine:q3|ann|1|1|ann|short|-7199995",
                    "engine:q4|ann|3|2|ann|stronger|169200002",
                    "engine:q5|ann|2|1|ann|memory|169200003",
                    "router:r2|ann|9223372036854775807|2|ann||853200004");

    /** Subject, owner, digest. */
    private static final List<String> DIGESTS =
            List.of(
                    "engine:q1|ann|2020926760",
                    "engine:q1|böb|-1838468933",
                    "engine:q3|ann|2078780835",
                    "engine:q4|ann|-496359479",
                    "engine:q5|ann|948898757",
                    "router:r2|ann|1372111154");

    @TempDir Path folder;

    @BeforeEach
    void copy() throws Exception {
        Path stored = Path.of(StoredNoticesTest.class.getResource("/stored/notices").toURI());
        try (Stream<Path> files = Files.list(stored)) {
            for (Path file : files.toList()) {
                Files.copy(file, folder.resolve(file.getFileName().toString()));
            }
        }
    }

    private ReplicatedCommandSet open() throws IOException {
        ReplicatedCommandSet set = StoredDataRecorder.emptySet();
        new CommandLog(FolderDisk.writing(folder), set, NOW_MS).close();
        return set;
    }

    private static List<String> lines(ReplicatedCommandSet set) {
        return set.commands(NOW_MS).stream()
                .map(held -> line(held.command(), held.ttlMs()))
                .toList();
    }

    private static String line(OperatorCommand operatorCommand, long leftMs) {
        return String.join(
                "|",
                operatorCommand.subject(),
                operatorCommand.owner(),
                "" + operatorCommand.revision(),
                "" + operatorCommand.intent().ordinal(),
                operatorCommand.issuer(),
                operatorCommand.reason(),
                "" + leftMs);
    }

    @Test
    void commandsAreReadAsWritten() throws Exception {
        assertEquals(EXPECTED, lines(open()));
    }

    @Test
    void rewrittenLogIsReadTheSame() throws Exception {
        open();
        assertEquals(EXPECTED, lines(open()));
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
                open().intents(NOW_MS));
    }

    /** Routers of different builds compare these numbers. */
    @Test
    void digestsOfNoticesAreThoseOfTheEarlierBuild() throws Exception {
        List<String> digests = new ArrayList<>();
        open().digest()
                .forEach(
                        (say, digest) ->
                                digests.add(say.subject() + "|" + say.owner() + "|" + digest));
        assertEquals(DIGESTS, digests);
    }

    /** Intents are stored as their ordinal numbers: in another order they mean something else. */
    @Test
    void intentsKeepTheOrderInWhichTheirNumbersWereStored() {
        assertEquals(List.of(Intent.NONE, Intent.DRAIN, Intent.STOP), List.of(Intent.values()));
    }
}
