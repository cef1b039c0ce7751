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
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            f.engine("q1").faults().breakAt(Place.ANSWER, how, 100);
            for (int i = 0; i < 6; i++) {
                NativeClient c = f.client("portal").keepBlocks();
                Reply r =
                        c.query(
                                "",
                                "SELECT /* sim tag=t" + i + " " + SMALL + " */ 2",
                                Map.of(),
                                10 * S);
                assertEquals(Kind.SERVED, r.kind(), r.message());
                assertEquals(40, r.rows());
                assertEquals(Set.of("q2"), values(c.blocks()));
            }
            assertTrue(
                    f.ledger().stream().anyMatch(e -> e.engine.equals("q1")),
                    "the broken engine was never tried");
        }
    }

    private static Set<Object> values(List<Block> blocks) {
        Set<Object> values = new HashSet<>();
        blocks.forEach(b -> values.addAll(b.column("value").values()));
        return values;
    }

    @ParameterizedTest
    @EnumSource(
            value = Break.class,
            names = {"CLOSE", "GARBAGE", "HALF_PACKET"})
    void anAnswerThatBreaksAfterItsFirstPartEndsInOneExceptionAndIsNotRunAgain(Break how)
            throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            f.engines.values().forEach(e -> e.faults().breakAt(Place.ANSWER, how, 100));
            NativeClient c = f.client("portal");
            Reply r = c.query("", "SELECT /* sim tag=t " + LARGE + " */ 2", Map.of(), 10 * S);
            assertEquals(Kind.EXCEPTION, r.kind(), r.message());
            assertEquals(210, r.code());
            assertTrue(r.rows() > 0, "the answer had not begun");
            assertEquals(1, f.ledger().stream().filter(e -> e.tag.equals("t")).count());
            f.engines.values().forEach(e -> e.faults().heal());
            assertEquals(
                    Kind.SERVED,
                    c.query("", "SELECT 1", Map.of(), 10 * S).kind(),
                    "the connection is out of step");
        }
    }

    @Test
    void aCorruptFrameIsNeverPassedOn() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            f.engine("q1").faults().breakAt(Place.ANSWER, Break.CORRUPT_FRAME, 100);
            for (int i = 0; i < 6; i++) {
                NativeClient c = new NativeClient(Compression.LZ4, Revision.HIGHEST);
                c.open(f.router.address(), "portal", "", "default", 5_000);
                f.clients.add(c);
                Reply r =
                        c.query(
                                "",
                                "SELECT /* sim tag=t" + i + " " + SMALL + " */ 2",
                                Map.of(),
                                10 * S);
                assertEquals(Kind.SERVED, r.kind(), r.message());
            }
            assertTrue(
                    f.ledger().stream().anyMatch(e -> e.engine.equals("q1")),
                    "the corrupting engine was never tried");
        }
    }

    @Test
    void aLoadWhoseEngineDiesAfterItMayHaveRunFailsAndIsNotRunAgain() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            f.engines.values().forEach(e -> e.faults().breakAt(Place.RUN, Break.CLOSE, 100));
            Reply r = f.query("portal", "INSERT /* sim tag=t */ INTO a SELECT * FROM b");
            assertEquals(210, r.code(), r.message());
            assertEquals(1, f.runs("t"));
        }
    }

    @Test
    void aLookUpWhoseEngineDiesIsRunAgain() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            f.engine("q1").faults().breakAt(Place.RUN, Break.CLOSE, 1);
            f.engine("q2").faults().breakAt(Place.RUN, Break.CLOSE, 1);
            Reply r = f.query("portal", "SELECT /* sim tag=t */ 2");
            assertEquals(Kind.SERVED, r.kind(), r.message());
            assertEquals(3, f.runs("t"));
        }
    }

    @Test
    void aWriteThatHidesBehindARepeatableUserIsRunOnce() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            f.engines.values().forEach(e -> e.faults().breakAt(Place.RUN, Break.CLOSE, 100));
            int n = 0;
            for (String s :
                    List.of(
                            "ALTER /* sim tag=%s */ TABLE t DELETE WHERE 1",
                            "/* SELECT */ DROP /* sim tag=%s */ TABLE t",
                            "SELECT 1; INSERT /* sim tag=%s */ INTO t SELECT 2",
                            "-- SELECT\nTRUNCATE /* sim tag=%s */ t",
                            "WITH 1 AS x INSERT /* sim tag=%s */ INTO t SELECT x")) {
                Reply r = f.query("portal", String.format(s, "w" + n));
                assertEquals(210, r.code(), s + ": " + r.message());
                assertEquals(1, f.runs("w" + n++), s);
            }
        }
    }

    @Test
    void aReportGoesToItsKindAlsoWhenAllOfThatKindAreDown() throws Exception {
        try (Fleet f = Fleet.of("a1:typ-a", "b1:typ-b").start()) {
            assertEquals(Kind.SERVED, f.query("billing", "SELECT /* sim tag=up */ 2").kind());
            f.engine("a1").crash();
            Reply r =
                    f.client("billing")
                            .query(
                                    "",
                                    "SELECT /* sim tag=down */ 2",
                                    Map.of("max_execution_time", "2"),
                                    5 * S);
            assertEquals(202, r.code(), r.message());
            assertEquals(
                    List.of(), f.ledger().stream().filter(e -> e.engine.equals("b1")).toList());
            assertEquals(Kind.SERVED, f.query("portal", "SELECT /* sim tag=other */ 2").kind());
        }
    }

    @Test
    void aRefusalSaysThatTryingAgainIsHarmlessAndWhen() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            f.engine("q1").crash();
            Reply r =
                    f.client("portal")
                            .query("", "SELECT 1", Map.of("max_execution_time", "1"), 5 * S);
            assertEquals(202, r.code());
            assertTrue(
                    r.message().contains("harmless") && r.message().contains("come back in 500 ms"),
                    r.message());
        }
    }

    @Test
    void anEnginesOwnErrorIsTheAnswer() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            Reply r = f.query("portal", "SELECT /* sim tag=t error=60 */ 2");
            assertEquals(60, r.code());
            assertEquals(1, f.ledger().size());
            Reply mid = f.query("portal", "SELECT /* sim tag=u error_mid=60 " + SMALL + " */ 2");
            assertEquals(60, mid.code());
            assertEquals(40, mid.rows());
        }
    }

    @Test
    void anEngineThatTurnsAwayIsNotTheAnswer() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            Reply r =
                    f.client("portal")
                            .query(
                                    "",
                                    "SELECT /* sim tag=t error=202 */ 2",
                                    Map.of("max_execution_time", "1"),
                                    5 * S);
            assertEquals(202, r.code());
            assertTrue(r.message().startsWith("ashlink: refused"), r.message());
            assertTrue(f.ledger().size() > 1, "no other engine was tried");
        }
    }

    @Test
    void anAnswerComesBeforeTheClientsOwnDeadlineThoughEnginesHang() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a", "q2:typ-a").with(MARGIN).start()) {
            f.engines.values().forEach(e -> e.hang(true));
            long from = System.nanoTime();
            Reply r =
                    f.client("portal")
                            .query(
                                    "",
                                    "SELECT /* sim tag=t */ 2",
                                    Map.of("max_execution_time", "1.5"),
                                    1500 * Fleet.MS);
            assertEquals(
                    Kind.EXCEPTION,
                    r.kind(),
                    "after " + (System.nanoTime() - from) / Fleet.MS + " ms: " + r.message());
            f.engines.values().forEach(e -> e.hang(false));
            f.engines.values().forEach(e -> e.faults().breakAt(Place.QUERY, Break.SILENCE, 100));
            Reply w =
                    f.client("portal")
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
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            NativeClient c = f.client("portal");
            for (int delay : new int[] {0, 1, 5, 20, 50}) {
                c.sendQuery("", "SELECT /* sim work_ms=20 */ 2", Map.of());
                Thread.sleep(delay);
                c.sendBare(ClientPacket.CANCEL);
                Reply r = c.await(List.of(), System.nanoTime() + 5 * S);
                assertTrue(r.kind() == Kind.SERVED || r.code() == 394, r.toString());
            }
            assertEquals(Kind.SERVED, c.query("", "SELECT 1", Map.of(), 5 * S).kind());
        }
    }

    @Test
    void aQuerySentEarlyWaitsForItsTurn() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            NativeClient c = f.client("portal").keepBlocks();
            c.sendQuery("", "SELECT /* sim work_ms=50 value=first */ 2", Map.of());
            c.sendQuery("", "SELECT /* sim work_ms=1 value=second */ 2", Map.of());
            assertEquals(Kind.SERVED, c.await(List.of(), System.nanoTime() + 5 * S).kind());
            assertEquals(Set.of("first"), values(c.blocks()));
            assertEquals(Kind.SERVED, c.await(List.of(), System.nanoTime() + 5 * S).kind());
            assertEquals(Set.of("second"), values(c.blocks()));
        }
    }

    @Test
    void aClientThatVanishesLeavesNothingBehind() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            NativeClient c = f.client("portal");
            c.sendQuery("", "SELECT /* sim work_ms=200 " + LARGE + " */ 2", Map.of());
            Thread.sleep(20);
            c.close();
            Fleet.await("no open requests", () -> f.router.core().openRequests() == 0);
            assertEquals(Kind.SERVED, f.query("portal", "SELECT 1").kind());
        }
    }

    @Test
    void aClientThatDoesNotReadIsCutOffAndOthersAreServed() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            NativeClient slow = f.client("portal");
            slow.sendQuery(
                    "",
                    "SELECT /* sim rows=1000 width=1000 blocks=100 */ 2",
                    Map.of("max_execution_time", "0.5"));
            for (int i = 0; i < 5; i++) {
                assertEquals(Kind.SERVED, f.query("portal", "SELECT 1").kind());
            }
            Fleet.await(
                    "the slow client's request is over", () -> f.router.core().openRequests() == 0);
        }
    }

    @Test
    void attemptsHaveTheirOwnIdsAndSettingsOfOursAreStripped() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            Reply r =
                    f.client("portal")
                            .query(
                                    "mine",
                                    "SELECT /* sim tag=t */ 2",
                                    Map.of("ashlink_key", "k"),
                                    5 * S);
            assertEquals(Kind.SERVED, r.kind());
            Ledger.Entry e = f.ledger().get(0);
            assertNotEquals("mine", e.queryId);
            assertTrue(e.queryId.startsWith("r1-"), e.queryId);
            assertEquals("ashlink r1", e.router);
        }
    }

    @Test
    void aModuleThatForgetsOrThrowsStillLeavesNobodyWithoutAnAnswer() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").with(MARGIN).start(s -> (e, now) -> List.of())) {
            Reply r =
                    f.client("portal")
                            .query(
                                    "",
                                    "SELECT 1",
                                    Map.of("max_execution_time", "1.2"),
                                    1200 * Fleet.MS);
            assertEquals(202, r.code(), r.message());
        }
        try (Fleet f =
                Fleet.of("q1:typ-a")
                        .start(
                                s ->
                                        (e, now) -> {
                                            throw new IllegalStateException("on purpose");
                                        })) {
            assertEquals(202, f.query("portal", "SELECT 1").code());
        }
    }

    @Test
    void largeAnswersAndInsertsPassWholeInAllCompressions() throws Exception {
        try (Fleet f = Fleet.of("q1:typ-a").start()) {
            for (Compression compression :
                    new Compression[] {null, Compression.LZ4, Compression.ZSTD}) {
                NativeClient c = new NativeClient(compression, Revision.HIGHEST);
                c.open(f.router.address(), "portal", "", "default", 5_000);
                f.clients.add(c);
                String name = compression == Compression.ZSTD ? "zstd" : "lz4";
                Reply r =
                        c.query(
                                "",
                                "SELECT /* sim compression="
                                        + name
                                        + " rows=10000 width=100 blocks=20 */ 2",
                                Map.of(),
                                20 * S);
                assertEquals(Kind.SERVED, r.kind(), r.message());
                assertEquals(200_000, r.rows());
                Reply empty = c.query("", "SELECT /* sim rows=0 */ 2", Map.of(), 5 * S);
                assertEquals(Kind.SERVED, empty.kind(), empty.message());
                assertEquals(0, empty.rows());
            }
        }
    }
}
