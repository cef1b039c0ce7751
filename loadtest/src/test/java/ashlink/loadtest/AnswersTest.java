package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.emulator.Ledger;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.client.Reply.Kind;
import ashlink.wire.Block;
import ashlink.wire.ClientPacket;
import ashlink.wire.Compression;
import ashlink.wire.Revision;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * When does the client own an answer, what differs between refusal and failure, and one final
 * answer in all cases.
 */
class AnswersTest {

    private static final long S = Fleet.S;

    /** Wide, so that a busy machine does not decide the verdict. */
    private static final String MARGIN = "(bounds (answer-margin 700ms))";

    /** Rows over the limit of what is held back, and under it. */
    private static final String LARGE = "rows=1000 width=1000 blocks=40";

    private static final String SMALL = "rows=10 blocks=4";

    @ParameterizedTest
    @EnumSource(
            value = Break.class,
            names = {"CLOSE", "GARBAGE", "HALF_PACKET"})
    void anAnswerThatBreaksWhileItIsHeldBackIsReplacedByAnotherEngines(Break how) throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engine("q1").faults().breakAt(Place.ANSWER, how, 100);
            for (int i = 0; i < 6; i++) {
                NativeClient nativeClient = fleet.client("portal").retainBlocks();
                Reply reply =
                        nativeClient.query(
                                "",
                                "SELECT /* sim tag=t" + i + " " + SMALL + " */ 2",
                                Map.of(),
                                10 * S);
                assertEquals(Kind.SERVED, reply.kind(), reply.message());
                assertEquals(40, reply.rows());
                assertEquals(Set.of("q2"), values(nativeClient.blocks()));
            }
            assertTrue(
                    fleet.ledger().stream().anyMatch(entry -> entry.engine.equals("q1")),
                    "the broken engine was never tried");
        }
    }

    private static Set<Object> values(List<Block> blocks) {
        Set<Object> values = new HashSet<>();
        blocks.forEach(block -> values.addAll(block.column("value").values()));
        return values;
    }

    @ParameterizedTest
    @EnumSource(
            value = Break.class,
            names = {"CLOSE", "GARBAGE", "HALF_PACKET"})
    void anAnswerThatBreaksAfterItsFirstPartEndsInOneExceptionAndIsNotRunAgain(Break how)
            throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine.faults().breakAt(Place.ANSWER, how, 100));
            NativeClient nativeClient = fleet.client("portal");
            Reply reply =
                    nativeClient.query(
                            "", "SELECT /* sim tag=t " + LARGE + " */ 2", Map.of(), 10 * S);
            assertEquals(Kind.EXCEPTION, reply.kind(), reply.message());
            assertEquals(210, reply.code());
            assertTrue(reply.rows() > 0, "the answer had not begun");
            assertEquals(1, fleet.ledger().stream().filter(entry -> entry.tag.equals("t")).count());
            fleet.engines.values().forEach(emulatedEngine -> emulatedEngine.faults().heal());
            assertEquals(
                    Kind.SERVED,
                    nativeClient.query("", "SELECT 1", Map.of(), 10 * S).kind(),
                    "the connection is out of step");
        }
    }

    @Test
    void aCorruptFrameIsNeverPassedOn() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engine("q1").faults().breakAt(Place.ANSWER, Break.CORRUPT_FRAME, 100);
            for (int i = 0; i < 6; i++) {
                NativeClient nativeClient = new NativeClient(Compression.LZ4, Revision.HIGHEST);
                nativeClient.open(fleet.router.address(), "portal", "", "default", 5_000);
                fleet.clients.add(nativeClient);
                Reply reply =
                        nativeClient.query(
                                "",
                                "SELECT /* sim tag=t" + i + " " + SMALL + " */ 2",
                                Map.of(),
                                10 * S);
                assertEquals(Kind.SERVED, reply.kind(), reply.message());
            }
            assertTrue(
                    fleet.ledger().stream().anyMatch(entry -> entry.engine.equals("q1")),
                    "the corrupting engine was never tried");
        }
    }

    @Test
    void aLoadWhoseEngineDiesAfterItMayHaveRunFailsAndIsNotRunAgain() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine.faults().breakAt(Place.RUN, Break.CLOSE, 100));
            Reply reply = fleet.query("portal", "INSERT /* sim tag=t */ INTO a SELECT * FROM b");
            assertEquals(210, reply.code(), reply.message());
            assertEquals(1, fleet.runs("t"));
        }
    }

    @Test
    void aLookUpWhoseEngineDiesIsRunAgain() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engine("q1").faults().breakAt(Place.RUN, Break.CLOSE, 1);
            fleet.engine("q2").faults().breakAt(Place.RUN, Break.CLOSE, 1);
            Reply reply = fleet.query("portal", "SELECT /* sim tag=t */ 2");
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
            assertEquals(3, fleet.runs("t"));
        }
    }

    @Test
    void aWriteThatHidesBehindARepeatableUserIsRunOnce() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine.faults().breakAt(Place.RUN, Break.CLOSE, 100));
            int n = 0;
            for (String text :
                    List.of(
                            "ALTER /* sim tag=%s */ TABLE t DELETE WHERE 1",
                            "/* SELECT */ DROP /* sim tag=%s */ TABLE t",
                            "SELECT 1; INSERT /* sim tag=%s */ INTO t SELECT 2",
                            "-- SELECT\nTRUNCATE /* sim tag=%s */ t",
                            "WITH 1 AS x INSERT /* sim tag=%s */ INTO t SELECT x")) {
                Reply reply = fleet.query("portal", String.format(text, "w" + n));
                assertEquals(210, reply.code(), text + ": " + reply.message());
                assertEquals(1, fleet.runs("w" + n++), text);
            }
        }
    }

    @Test
    void aReportGoesToItsKindAlsoWhenAllOfThatKindAreDown() throws Exception {
        try (Fleet fleet = Fleet.of("a1:typ-a", "b1:typ-b").start()) {
            assertEquals(Kind.SERVED, fleet.query("billing", "SELECT /* sim tag=up */ 2").kind());
            fleet.engine("a1").crash();
            Reply reply =
                    fleet.client("billing")
                            .query(
                                    "",
                                    "SELECT /* sim tag=down */ 2",
                                    Map.of("max_execution_time", "2"),
                                    5 * S);
            assertEquals(202, reply.code(), reply.message());
            assertEquals(
                    List.of(),
                    fleet.ledger().stream().filter(entry -> entry.engine.equals("b1")).toList());
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT /* sim tag=other */ 2").kind());
        }
    }

    @Test
    void aRefusalSaysThatTryingAgainIsHarmlessAndWhen() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            fleet.engine("q1").crash();
            Reply reply =
                    fleet.client("portal")
                            .query("", "SELECT 1", Map.of("max_execution_time", "1"), 5 * S);
            assertEquals(202, reply.code());
            assertTrue(
                    reply.message().contains("harmless")
                            && reply.message().contains("come back in 500 ms"),
                    reply.message());
        }
    }

    @Test
    void anEnginesOwnErrorIsTheAnswer() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            Reply reply = fleet.query("portal", "SELECT /* sim tag=t error=60 */ 2");
            assertEquals(60, reply.code());
            assertEquals(1, fleet.ledger().size());
            Reply mid =
                    fleet.query("portal", "SELECT /* sim tag=u error_mid=60 " + SMALL + " */ 2");
            assertEquals(60, mid.code());
            assertEquals(40, mid.rows());
        }
    }

    @Test
    void anEngineThatTurnsAwayIsNotTheAnswer() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT /* sim tag=t error=202 */ 2",
                                    Map.of("max_execution_time", "1"),
                                    5 * S);
            assertEquals(202, reply.code());
            assertTrue(reply.message().startsWith("ashlink: refused"), reply.message());
            assertTrue(fleet.ledger().size() > 1, "no other engine was tried");
        }
    }

    @Test
    void anAnswerComesBeforeTheClientsOwnDeadlineThoughEnginesHang() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").with(MARGIN).start()) {
            fleet.engines.values().forEach(emulatedEngine -> emulatedEngine.hang(true));
            long from = System.nanoTime();
            Reply r =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT /* sim tag=t */ 2",
                                    Map.of("max_execution_time", "1.5"),
                                    1500 * Fleet.MS);
            assertEquals(
                    Kind.EXCEPTION,
                    r.kind(),
                    "after " + (System.nanoTime() - from) / Fleet.MS + " ms: " + r.message());
            fleet.engines.values().forEach(emulatedEngine -> emulatedEngine.hang(false));
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine
                                            .faults()
                                            .breakAt(Place.QUERY, Break.SILENCE, 100));
            Reply w =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "INSERT /* sim tag=w */ INTO t SELECT 1",
                                    Map.of("max_execution_time", "1.5"),
                                    1500 * Fleet.MS);
            assertEquals(210, w.code(), w.message());
        }
    }

    @Test
    void aCancelIsAnsweredOnceAndTheConnectionStaysInStep() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal");
            for (int delay : new int[] {0, 1, 5, 20, 50}) {
                nativeClient.sendQuery("", "SELECT /* sim work_ms=20 */ 2", Map.of());
                Thread.sleep(delay);
                nativeClient.sendPacketType(ClientPacket.CANCEL);
                Reply reply = nativeClient.await(List.of(), System.nanoTime() + 5 * S);
                assertTrue(reply.kind() == Kind.SERVED || reply.code() == 394, reply.toString());
            }
            assertEquals(Kind.SERVED, nativeClient.query("", "SELECT 1", Map.of(), 5 * S).kind());
        }
    }

    @Test
    void aQuerySentEarlyWaitsForItsTurn() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal").retainBlocks();
            nativeClient.sendQuery("", "SELECT /* sim work_ms=50 value=first */ 2", Map.of());
            nativeClient.sendQuery("", "SELECT /* sim work_ms=1 value=second */ 2", Map.of());
            assertEquals(
                    Kind.SERVED, nativeClient.await(List.of(), System.nanoTime() + 5 * S).kind());
            assertEquals(Set.of("first"), values(nativeClient.blocks()));
            assertEquals(
                    Kind.SERVED, nativeClient.await(List.of(), System.nanoTime() + 5 * S).kind());
            assertEquals(Set.of("second"), values(nativeClient.blocks()));
        }
    }

    @Test
    void aClientThatVanishesLeavesNothingBehind() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "SELECT /* sim work_ms=200 " + LARGE + " */ 2", Map.of());
            Thread.sleep(20);
            nativeClient.close();
            Fleet.await("no open requests", () -> fleet.router.core().openRequests() == 0);
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        }
    }

    @Test
    void aClientThatDoesNotReadIsCutOffAndOthersAreServed() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            NativeClient slow = fleet.client("portal");
            slow.sendQuery(
                    "",
                    "SELECT /* sim rows=1000 width=1000 blocks=100 */ 2",
                    Map.of("max_execution_time", "0.5"));
            for (int i = 0; i < 5; i++) {
                assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
            }
            Fleet.await(
                    "the slow client's request is over",
                    () -> fleet.router.core().openRequests() == 0);
        }
    }

    @Test
    void attemptsHaveTheirOwnIdsAndSettingsOfOursAreStripped() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "mine",
                                    "SELECT /* sim tag=t */ 2",
                                    Map.of("ashlink_key", "k"),
                                    5 * S);
            assertEquals(Kind.SERVED, reply.kind());
            Ledger.Entry entry = fleet.ledger().get(0);
            assertNotEquals("mine", entry.queryId);
            assertTrue(entry.queryId.startsWith("r1-"), entry.queryId);
            assertEquals("ashlink r1", entry.router);
        }
    }

    @Test
    void aModuleThatForgetsOrThrowsStillLeavesNobodyWithoutAnAnswer() throws Exception {
        try (Fleet fleet =
                Fleet.of("q1:typ-a").with(MARGIN).start(settings -> (event, now) -> List.of())) {
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT 1",
                                    Map.of("max_execution_time", "1.2"),
                                    1200 * Fleet.MS);
            assertEquals(202, reply.code(), reply.message());
        }
        try (Fleet fleet =
                Fleet.of("q1:typ-a")
                        .start(
                                settings ->
                                        (event, now) -> {
                                            throw new IllegalStateException("on purpose");
                                        })) {
            assertEquals(202, fleet.query("portal", "SELECT 1").code());
        }
    }

    @Test
    void largeAnswersAndInsertsPassWholeInAllCompressions() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            for (Compression compression :
                    new Compression[] {null, Compression.LZ4, Compression.ZSTD}) {
                NativeClient nativeClient = new NativeClient(compression, Revision.HIGHEST);
                nativeClient.open(fleet.router.address(), "portal", "", "default", 5_000);
                fleet.clients.add(nativeClient);
                String name = compression == Compression.ZSTD ? "zstd" : "lz4";
                Reply reply =
                        nativeClient.query(
                                "",
                                "SELECT /* sim compression="
                                        + name
                                        + " rows=10000 width=100 blocks=20 */ 2",
                                Map.of(),
                                20 * S);
                assertEquals(Kind.SERVED, reply.kind(), reply.message());
                assertEquals(200_000, reply.rows());
                Reply empty = nativeClient.query("", "SELECT /* sim rows=0 */ 2", Map.of(), 5 * S);
                assertEquals(Kind.SERVED, empty.kind(), empty.message());
                assertEquals(0, empty.rows());
            }
        }
    }
}
