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

/** When has an insert run: only from the end of its data on. */
class InsertsTest {

    private static final long S = Fleet.S;
    private static final Block ROWS =
            Block.of(
                    new Block.Column("id", "UInt64", List.of(1L)),
                    new Block.Column("value", "String", List.of("x")));

    private static Block wide(int bytes) {
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
    void anInsertWhoseEngineBreaksBeforeItsDataIsCompleteIsGivenToAnother(Place place)
            throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine.faults().breakAt(place, Break.CLOSE, 1));
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "INSERT /* sim tag=t */ INTO t VALUES", Map.of());
            for (int i = 0; i < 4; i++) {
                nativeClient.sendBlock(
                        ROWS); // spread out, so that the break comes well before the end of the
                // data
                Thread.sleep(100);
            }
            nativeClient.sendBlock(Block.END);
            Reply reply = nativeClient.await(List.of(), System.nanoTime() + 10 * S);
            assertEquals(Kind.SERVED, reply.kind(), place + ": " + reply.message());
            assertEquals(1, fleet.runs("t"));
            assertTrue(fleet.ledger().size() > 1, "no engine broke");
        }
    }

    @Test
    void anInsertWhoseEngineBreaksAfterItsDataIsCompleteIsNotRunAgain() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a", "q2:typ-a").start()) {
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine.faults().breakAt(Place.RUN, Break.CLOSE, 100));
            Reply reply =
                    fleet.client("portal")
                            .insert(
                                    "",
                                    "INSERT /* sim tag=t */ INTO t VALUES",
                                    Map.of(),
                                    List.of(ROWS),
                                    10 * S);
            assertEquals(210, reply.code(), reply.message());
            assertEquals(1, fleet.runs("t"));
        }
    }

    @Test
    void anInsertThatIsTooLargeToKeepIsRefusedWhenItsEngineBreaksAndHasNotRun() throws Exception {
        try (Fleet fleet =
                Fleet.of("q1:typ-a", "q2:typ-a").with("(bounds (held-insert 64KiB))").start()) {
            fleet.engines
                    .values()
                    .forEach(
                            emulatedEngine ->
                                    emulatedEngine.faults().breakAt(Place.INSERT, Break.CLOSE, 1));
            List<Block> blocks = new ArrayList<>(Collections.nCopies(40, wide(10_000)));
            NativeClient nativeClient = fleet.client("portal");
            Reply reply =
                    nativeClient.insert(
                            "",
                            "INSERT /* sim tag=t */ INTO t VALUES",
                            Map.of("max_execution_time", "5"),
                            blocks,
                            10 * S);
            assertEquals(202, reply.code(), reply.kind() + reply.message());
            assertEquals(0, fleet.runs("t"));
        }
    }

    @Test
    void aLargeInsertPassesThroughAWindow() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").with("(bounds (held-insert 1MiB))").start()) {
            List<Block> blocks = new ArrayList<>(Collections.nCopies(64, wide(1 << 20)));
            Reply reply =
                    fleet.client("portal")
                            .insert(
                                    "",
                                    "INSERT /* sim tag=t */ INTO t VALUES",
                                    Map.of(),
                                    blocks,
                                    20 * S);
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
            assertEquals(1, fleet.runs("t"));
        }
    }

    @Test
    void aClientThatStopsInTheMiddleIsAnsweredBeforeItsTimeAndNothingRan() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").with("(bounds (answer-margin 700ms))").start()) {
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery(
                    "",
                    "INSERT /* sim tag=t */ INTO t VALUES",
                    Map.of("max_execution_time", "1.5"));
            nativeClient.sendBlock(ROWS);
            Reply reply = nativeClient.await(List.of(), System.nanoTime() + 3 * S / 2);
            assertEquals(202, reply.code(), reply.kind() + " " + reply.message());
            assertEquals(0, fleet.runs("t"));
            nativeClient.sendBlock(Block.END); // what is left of the insert is passed over
            assertEquals(Kind.SERVED, nativeClient.query("", "SELECT 1", Map.of(), 5 * S).kind());
        }
    }

    @Test
    void aClientThatVanishesOrCancelsInTheMiddleHasRunNothing() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            NativeClient gone = fleet.client("portal");
            gone.sendQuery("", "INSERT /* sim tag=gone */ INTO t VALUES", Map.of());
            gone.sendBlock(ROWS);
            Fleet.await("the insert is at the engine", () -> !fleet.ledger().isEmpty());
            gone.close();
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "INSERT /* sim tag=cancelled */ INTO t VALUES", Map.of());
            nativeClient.sendBlock(ROWS);
            nativeClient.sendPacketType(ClientPacket.CANCEL);
            assertEquals(394, nativeClient.await(List.of(), System.nanoTime() + 5 * S).code());
            Fleet.await("no open requests", () -> fleet.router.core().openRequests() == 0);
            assertEquals(0, fleet.runs("gone") + fleet.runs("cancelled"));
        }
    }

    @Test
    void anEngineThatRefusesTheDataEarlyIsTheAnswer() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            Reply reply =
                    fleet.client("portal")
                            .insert(
                                    "",
                                    "INSERT /* sim tag=t error=60 */ INTO t VALUES",
                                    Map.of(),
                                    List.of(ROWS),
                                    5 * S);
            assertEquals(60, reply.code());
        }
    }
}
