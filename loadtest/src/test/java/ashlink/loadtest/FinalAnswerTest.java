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
 * Each query gets one final answer: responses that break before or after forwarding, rejections
 * (safe to retry) and failures (may have been executed).
 */
class FinalAnswerTest {

    private static final long NS_PER_SECOND = TestFleet.NS_PER_SECOND;

    /** Wide margin before the deadline, so that the test also passes on a busy machine. */
    private static final String ANSWER_MARGIN = "(bounds (answer-margin 700ms))";

    /** Result hints above the size that the router buffers before it forwards, and below. */
    private static final String LARGE_RESULT = "rows=1000 width=1000 blocks=40";

    private static final String SMALL_RESULT = "rows=10 blocks=4";

    @ParameterizedTest
    @EnumSource(
            value = Break.class,
            names = {"CLOSE", "GARBAGE", "HALF_PACKET"})
    void brokenResponseThatIsStillBufferedIsReplacedByAnotherEngine(Break breakMode)
            throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engine("q1").faults().breakAt(Place.ANSWER, breakMode, 100);
            for (int i = 0; i < 6; i++) {
                NativeClient nativeClient = fleet.client("portal").retainBlocks();
                Reply reply =
                        nativeClient.query(
                                "",
                                "SELECT /* sim tag=t" + i + " " + SMALL_RESULT + " */ 2",
                                Map.of(),
                                10 * NS_PER_SECOND);
                assertEquals(Kind.SERVED, reply.kind(), reply.message());
                assertEquals(40, reply.rows());
                assertEquals(Set.of("q2"), values(nativeClient.blocks()));
            }
            assertTrue(
                    fleet.ledger().stream().anyMatch(entry -> entry.engine.equals("q1")),
                    "no query reached the failing engine");
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
    void brokenResponseThatWasPartlyForwardedEndsInOneExceptionWithoutRetry(Break breakMode)
            throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.breakAllAt(Place.ANSWER, breakMode, 100);
            NativeClient nativeClient = fleet.client("portal");
            Reply reply =
                    nativeClient.query(
                            "",
                            "SELECT /* sim tag=t " + LARGE_RESULT + " */ 2",
                            Map.of(),
                            10 * NS_PER_SECOND);
            assertEquals(Kind.EXCEPTION, reply.kind(), reply.message());
            assertEquals(210, reply.code());
            assertTrue(reply.rows() > 0, "no part of the result was forwarded");
            assertEquals(1, fleet.ledger().stream().filter(entry -> entry.tag.equals("t")).count());
            fleet.engines.values().forEach(engine -> engine.faults().heal());
            assertEquals(
                    Kind.SERVED,
                    nativeClient.query("", "SELECT 1", Map.of(), 10 * NS_PER_SECOND).kind(),
                    "the connection is unusable after the exception");
        }
    }

    @Test
    void corruptFrameIsNotForwarded() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engine("q1").faults().breakAt(Place.ANSWER, Break.CORRUPT_FRAME, 100);
            for (int i = 0; i < 6; i++) {
                NativeClient nativeClient = new NativeClient(Compression.LZ4, Revision.HIGHEST);
                nativeClient.open(fleet.router.address(), "portal", "", "default", 5_000);
                fleet.clients.add(nativeClient);
                Reply reply =
                        nativeClient.query(
                                "",
                                "SELECT /* sim tag=t" + i + " " + SMALL_RESULT + " */ 2",
                                Map.of(),
                                10 * NS_PER_SECOND);
                assertEquals(Kind.SERVED, reply.kind(), reply.message());
            }
            assertTrue(
                    fleet.ledger().stream().anyMatch(entry -> entry.engine.equals("q1")),
                    "no query reached the corrupting engine");
        }
    }

    @Test
    void writeWhoseEngineFailsAfterItMayHaveRunFailsWithoutRetry() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.breakAllAt(Place.RUN, Break.CLOSE, 100);
            Reply reply = fleet.query("portal", "INSERT /* sim tag=t */ INTO a SELECT * FROM b");
            assertEquals(210, reply.code(), reply.message());
            assertEquals(1, fleet.executions("t"));
        }
    }

    @Test
    void readWhoseEngineFailsIsRetried() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engine("q1").faults().breakAt(Place.RUN, Break.CLOSE, 1);
            fleet.engine("q2").faults().breakAt(Place.RUN, Break.CLOSE, 1);
            Reply reply = fleet.query("portal", "SELECT /* sim tag=t */ 2");
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
            assertEquals(3, fleet.executions("t"));
        }
    }

    @Test
    void writeOfAUserWithAnIdempotentClassIsExecutedOnce() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.breakAllAt(Place.RUN, Break.CLOSE, 100);
            int statementNumber = 0;
            for (String text :
                    List.of(
                            "ALTER /* sim tag=%s */ TABLE t DELETE WHERE 1",
                            "/* SELECT */ DROP /* sim tag=%s */ TABLE t",
                            "SELECT 1; INSERT /* sim tag=%s */ INTO t SELECT 2",
                            "-- SELECT\nTRUNCATE /* sim tag=%s */ t",
                            "WITH 1 AS x INSERT /* sim tag=%s */ INTO t SELECT x")) {
                Reply reply = fleet.query("portal", String.format(text, "w" + statementNumber));
                assertEquals(210, reply.code(), text + ": " + reply.message());
                assertEquals(1, fleet.executions("w" + statementNumber++), text);
            }
        }
    }

    @Test
    void queryIsRejectedWhenAllEnginesOfItsKindAreDown() throws Exception {
        try (TestFleet fleet = TestFleet.of("a1:typ-a", "b1:typ-b").start()) {
            assertEquals(Kind.SERVED, fleet.query("billing", "SELECT /* sim tag=up */ 2").kind());
            fleet.engine("a1").crash();
            Reply reply =
                    fleet.client("billing")
                            .query(
                                    "",
                                    "SELECT /* sim tag=down */ 2",
                                    Map.of("max_execution_time", "2"),
                                    5 * NS_PER_SECOND);
            assertEquals(202, reply.code(), reply.message());
            assertEquals(
                    List.of(),
                    fleet.ledger().stream().filter(entry -> entry.engine.equals("b1")).toList());
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT /* sim tag=other */ 2").kind());
        }
    }

    @Test
    void rejectionStatesThatARetryIsSafeAndWhen() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            fleet.engine("q1").crash();
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT 1",
                                    Map.of("max_execution_time", "1"),
                                    5 * NS_PER_SECOND);
            assertEquals(202, reply.code());
            assertTrue(
                    reply.message().contains("a retry is safe")
                            && reply.message().contains("retry after 500 ms"),
                    reply.message());
        }
    }

    @Test
    void statementErrorOfTheEngineIsForwarded() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            Reply reply = fleet.query("portal", "SELECT /* sim tag=t error=60 */ 2");
            assertEquals(60, reply.code());
            assertEquals(1, fleet.ledger().size());
            Reply partialReply =
                    fleet.query(
                            "portal", "SELECT /* sim tag=u error_mid=60 " + SMALL_RESULT + " */ 2");
            assertEquals(60, partialReply.code());
            assertEquals(40, partialReply.rows());
        }
    }

    @Test
    void rejectionByAnEngineIsRetriedAndNotForwarded() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT /* sim tag=t error=202 */ 2",
                                    Map.of("max_execution_time", "1"),
                                    5 * NS_PER_SECOND);
            assertEquals(202, reply.code());
            assertTrue(reply.message().startsWith("ashlink: refused"), reply.message());
            assertTrue(fleet.ledger().size() > 1, "no retry on another engine");
        }
    }

    @Test
    void queryOnHungEnginesIsAnsweredBeforeTheClientsDeadline() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").with(ANSWER_MARGIN).start()) {
            fleet.engines.values().forEach(engine -> engine.hang(true));
            long startNs = System.nanoTime();
            Reply selectReply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT /* sim tag=t */ 2",
                                    Map.of("max_execution_time", "1.5"),
                                    1500 * TestFleet.NS_PER_MS);
            assertEquals(
                    Kind.EXCEPTION,
                    selectReply.kind(),
                    "after "
                            + (System.nanoTime() - startNs) / TestFleet.NS_PER_MS
                            + " ms: "
                            + selectReply.message());
            fleet.engines.values().forEach(engine -> engine.hang(false));
            fleet.breakAllAt(Place.QUERY, Break.SILENCE, 100);
            Reply insertReply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "INSERT /* sim tag=w */ INTO t SELECT 1",
                                    Map.of("max_execution_time", "1.5"),
                                    1500 * TestFleet.NS_PER_MS);
            assertEquals(210, insertReply.code(), insertReply.message());
        }
    }

    @Test
    void cancelIsAnsweredOnceAndTheConnectionStaysUsable() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal");
            for (int delay : new int[] {0, 1, 5, 20, 50}) {
                nativeClient.sendQuery("", "SELECT /* sim work_ms=20 */ 2", Map.of());
                Thread.sleep(delay);
                nativeClient.sendPacketType(ClientPacket.CANCEL);
                Reply reply = nativeClient.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND);
                assertTrue(reply.kind() == Kind.SERVED || reply.code() == 394, reply.toString());
            }
            assertEquals(
                    Kind.SERVED,
                    nativeClient.query("", "SELECT 1", Map.of(), 5 * NS_PER_SECOND).kind());
        }
    }

    @Test
    void pipelinedQueryIsAnsweredAfterTheFirst() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal").retainBlocks();
            nativeClient.sendQuery("", "SELECT /* sim work_ms=50 value=first */ 2", Map.of());
            nativeClient.sendQuery("", "SELECT /* sim work_ms=1 value=second */ 2", Map.of());
            assertEquals(
                    Kind.SERVED,
                    nativeClient.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND).kind());
            assertEquals(Set.of("first"), values(nativeClient.blocks()));
            assertEquals(
                    Kind.SERVED,
                    nativeClient.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND).kind());
            assertEquals(Set.of("second"), values(nativeClient.blocks()));
        }
    }

    @Test
    void disconnectedClientLeavesNoOpenRequest() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery(
                    "", "SELECT /* sim work_ms=200 " + LARGE_RESULT + " */ 2", Map.of());
            Thread.sleep(20);
            nativeClient.close();
            TestFleet.await("no open requests", () -> fleet.router.core().openRequests() == 0);
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        }
    }

    @Test
    void requestOfAClientThatDoesNotReadEndsWhileOthersAreServed() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            NativeClient slow = fleet.client("portal");
            slow.sendQuery(
                    "",
                    "SELECT /* sim rows=1000 width=1000 blocks=100 */ 2",
                    Map.of("max_execution_time", "0.5"));
            for (int i = 0; i < 5; i++) {
                assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
            }
            TestFleet.await(
                    "the end of the slow client's request",
                    () -> fleet.router.core().openRequests() == 0);
        }
    }

    @Test
    void attemptsHaveTheirOwnQueryIdsAndRouterSettingsAreRemoved() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "mine",
                                    "SELECT /* sim tag=t */ 2",
                                    Map.of("ashlink_key", "k"),
                                    5 * NS_PER_SECOND);
            assertEquals(Kind.SERVED, reply.kind());
            Ledger.Entry entry = fleet.ledger().get(0);
            assertNotEquals("mine", entry.queryId);
            assertTrue(entry.queryId.startsWith("r1-"), entry.queryId);
            assertEquals("ashlink r1", entry.router);
        }
    }

    @Test
    void queryIsRejectedWhenTheWorkloadManagerReturnsNoActionsOrThrows() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with(ANSWER_MARGIN)
                        .start(settings -> (event, now) -> List.of())) {
            Reply reply =
                    fleet.client("portal")
                            .query(
                                    "",
                                    "SELECT 1",
                                    Map.of("max_execution_time", "1.2"),
                                    1200 * TestFleet.NS_PER_MS);
            assertEquals(202, reply.code(), reply.message());
        }
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .start(
                                settings ->
                                        (event, now) -> {
                                            throw new IllegalStateException("on purpose");
                                        })) {
            assertEquals(202, fleet.query("portal", "SELECT 1").code());
        }
    }

    @Test
    void largeResultsAreForwardedCompletelyWithAllCompressions() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            for (Compression compression :
                    new Compression[] {null, Compression.LZ4, Compression.ZSTD}) {
                NativeClient nativeClient = new NativeClient(compression, Revision.HIGHEST);
                nativeClient.open(fleet.router.address(), "portal", "", "default", 5_000);
                fleet.clients.add(nativeClient);
                String engineCompression = compression == Compression.ZSTD ? "zstd" : "lz4";
                Reply reply =
                        nativeClient.query(
                                "",
                                "SELECT /* sim compression="
                                        + engineCompression
                                        + " rows=10000 width=100 blocks=20 */ 2",
                                Map.of(),
                                20 * NS_PER_SECOND);
                assertEquals(Kind.SERVED, reply.kind(), reply.message());
                assertEquals(200_000, reply.rows());
                Reply empty =
                        nativeClient.query(
                                "", "SELECT /* sim rows=0 */ 2", Map.of(), 5 * NS_PER_SECOND);
                assertEquals(Kind.SERVED, empty.kind(), empty.message());
                assertEquals(0, empty.rows());
            }
        }
    }
}
