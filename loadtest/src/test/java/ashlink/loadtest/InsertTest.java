package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.client.Reply.Kind;
import ashlink.wire.Block;
import ashlink.wire.ClientPacket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An insert may have been executed only after the end of its data was sent. */
class InsertTest {

    private static final long NS_PER_SECOND = TestFleet.NS_PER_SECOND;
    private static final Block ROWS =
            Block.of(
                    new Block.Column("id", "UInt64", List.of(1L)),
                    new Block.Column("value", "String", List.of("x")));

    private static Block wideBlock(int bytes) {
        return Block.of(
                new Block.Column("id", "UInt64", new ArrayList<>(Collections.nCopies(100, 1L))),
                new Block.Column(
                        "value",
                        "String",
                        new ArrayList<>(Collections.nCopies(100, "v".repeat(bytes / 100)))));
    }

    @ParameterizedTest
    @EnumSource(
            value = Place.class,
            names = {"QUERY", "HEADER", "INSERT"})
    void insertWhoseEngineFailsBeforeTheEndOfDataIsRetried(Place place) throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.breakAllAt(place, Break.CLOSE, 1);
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "INSERT /* sim tag=t */ INTO t VALUES", Map.of());
            for (int i = 0; i < 4; i++) {
                nativeClient.sendBlock(
                        ROWS); // Sent with delays, so that the engine fails well before the end
                // of the data.
                Thread.sleep(100);
            }
            nativeClient.sendBlock(Block.END);
            Reply reply = nativeClient.await(List.of(), System.nanoTime() + 10 * NS_PER_SECOND);
            assertEquals(Kind.SERVED, reply.kind(), place + ": " + reply.message());
            assertEquals(1, fleet.executions("t"));
            assertTrue(fleet.ledger().size() > 1, "no engine failed");
        }
    }

    @Test
    void insertWhoseEngineFailsAfterTheEndOfDataIsNotRetried() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.breakAllAt(Place.RUN, Break.CLOSE, 100);
            Reply reply =
                    fleet.client("portal")
                            .insert(
                                    "",
                                    "INSERT /* sim tag=t */ INTO t VALUES",
                                    Map.of(),
                                    List.of(ROWS),
                                    10 * NS_PER_SECOND);
            assertEquals(210, reply.code(), reply.message());
            assertEquals(1, fleet.executions("t"));
        }
    }

    @Test
    void insertLargerThanTheBufferIsRejectedUnexecutedWhenItsEngineFails() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a", "q2:typ-a").with("(bounds (held-insert 64KiB))").start()) {
            fleet.breakAllAt(Place.INSERT, Break.CLOSE, 1);
            // More than the sockets to an engine can buffer, so that the end of the data cannot be
            // written before the engine closes the connection, however late the engine reads.
            List<Block> blocks = new ArrayList<>(Collections.nCopies(64, wideBlock(1 << 20)));
            NativeClient nativeClient = fleet.client("portal");
            Reply reply =
                    nativeClient.insert(
                            "",
                            "INSERT /* sim tag=t */ INTO t VALUES",
                            Map.of("max_execution_time", "5"),
                            blocks,
                            10 * NS_PER_SECOND);
            assertEquals(202, reply.code(), reply.kind() + reply.message());
            assertEquals(0, fleet.executions("t"));
        }
    }

    @Test
    void insertLargerThanTheBufferIsForwarded() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with("(bounds (held-insert 1MiB))").start()) {
            List<Block> blocks = new ArrayList<>(Collections.nCopies(64, wideBlock(1 << 20)));
            Reply reply =
                    fleet.client("portal")
                            .insert(
                                    "",
                                    "INSERT /* sim tag=t */ INTO t VALUES",
                                    Map.of(),
                                    blocks,
                                    20 * NS_PER_SECOND);
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
            assertEquals(1, fleet.executions("t"));
        }
    }

    @Test
    void stalledInsertIsRejectedBeforeTheDeadlineWithoutExecution() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with("(bounds (answer-margin 700ms))").start()) {
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery(
                    "",
                    "INSERT /* sim tag=t */ INTO t VALUES",
                    Map.of("max_execution_time", "1.5"));
            nativeClient.sendBlock(ROWS);
            Reply reply = nativeClient.await(List.of(), System.nanoTime() + 3 * NS_PER_SECOND / 2);
            assertEquals(202, reply.code(), reply.kind() + " " + reply.message());
            assertEquals(0, fleet.executions("t"));
            nativeClient.sendBlock(Block.END); // the router skips the rest of the insert
            assertEquals(
                    Kind.SERVED,
                    nativeClient.query("", "SELECT 1", Map.of(), 5 * NS_PER_SECOND).kind());
        }
    }

    @Test
    void insertOfADisconnectedOrCancellingClientIsNotExecuted() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            NativeClient disconnectingClient = fleet.client("portal");
            disconnectingClient.sendQuery("", "INSERT /* sim tag=gone */ INTO t VALUES", Map.of());
            disconnectingClient.sendBlock(ROWS);
            TestFleet.await("the insert to reach the engine", () -> !fleet.ledger().isEmpty());
            disconnectingClient.close();
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "INSERT /* sim tag=cancelled */ INTO t VALUES", Map.of());
            nativeClient.sendBlock(ROWS);
            nativeClient.sendPacketType(ClientPacket.CANCEL);
            assertEquals(
                    394,
                    nativeClient.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND).code());
            TestFleet.await("no open requests", () -> fleet.router.core().openRequests() == 0);
            assertEquals(0, fleet.executions("gone") + fleet.executions("cancelled"));
        }
    }

    @Test
    void earlyErrorOfTheEngineIsForwarded() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            Reply reply =
                    fleet.client("portal")
                            .insert(
                                    "",
                                    "INSERT /* sim tag=t error=60 */ INTO t VALUES",
                                    Map.of(),
                                    List.of(ROWS),
                                    5 * NS_PER_SECOND);
            assertEquals(60, reply.code());
        }
    }
}
