package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.client.Reply.Kind;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Clients and engines that send malformed data, stall or disconnect: they get an error or a closed
 * socket within the configured timeout, and other clients are still served.
 */
class MisbehavingPeersTest {

    private static final long NS_PER_SECOND = TestFleet.NS_PER_SECOND;

    private static ByteBuf dataPacket() throws IOException {
        return new ByteBuf()
                .putVarUInt(ClientPacket.DATA.ordinal())
                .putString("")
                .putVarUInt(1)
                .putByte(0)
                .putVarUInt(2)
                .putInt(-1)
                .putVarUInt(0);
    }

    private static ByteBuf queryPacket(String statement) throws IOException {
        ByteBuf packet = new ByteBuf();
        new QueryPacket("", ClientInfo.NONE, List.of(), QueryPacket.COMPLETE, false, statement)
                .write(Revision.HIGHEST, packet);
        return packet;
    }

    /**
     * Sends the packets after a login and returns the reply of the router, which must arrive within
     * seconds; the router must still serve others.
     */
    private static Reply replyAfter(TestFleet fleet, ByteBuf... packets) throws Exception {
        NativeClient nativeClient = fleet.client("portal");
        for (ByteBuf packet : packets) {
            packet.writeTo(nativeClient.socket().getOutputStream());
        }
        Reply reply = nativeClient.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND);
        assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        return reply;
    }

    @Test
    void malformedPacketsOfAClientGetAnError() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            assertEquals(101, replyAfter(fleet, new ByteBuf().putVarUInt(77)).code());
            assertEquals(
                    307,
                    replyAfter(fleet, new ByteBuf().putVarUInt(1).putVarUInt(1L << 62)).code());
            assertEquals(
                    307,
                    replyAfter(fleet, new ByteBuf().putVarUInt(1).putVarUInt(1L << 30)).code());
            assertEquals(
                    307,
                    replyAfter(
                                    fleet,
                                    queryPacket("SELECT 1"),
                                    dataPacket().putVarUInt(100_000).putVarUInt(1))
                            .code());
            assertMalformedBlocksGetAnError(fleet);
        }
    }

    /**
     * Guards against a quota that runs out for all clients: one that disconnected within its
     * external tables never released what it had reserved.
     */
    @Test
    void clientsThatDisconnectWithinExternalTablesReleaseTheirMemory() throws Exception {
        String limits = "(bounds (held-insert 64KiB) (held-inserts 64KiB))";
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with(limits).start()) {
            ByteBuf table =
                    dataPacket()
                            .putVarUInt(1)
                            .putVarUInt(1)
                            .putString("x")
                            .putString("String")
                            .putString("v".repeat(20_000));
            for (int i = 0; i < 5; i++) {
                NativeClient disconnecting = fleet.client("portal");
                queryPacket("SELECT 1").writeTo(disconnecting.socket().getOutputStream());
                table.writeTo(disconnecting.socket().getOutputStream());
                disconnecting.socket().shutdownOutput();
                // The router closes the connection once it has read up to the end of the input.
                disconnecting.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND);
            }
            ByteBuf end = dataPacket().putVarUInt(0).putVarUInt(0);
            Reply reply = replyAfter(fleet, queryPacket("SELECT 1"), table, end);
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
        }
    }

    private static void assertMalformedBlocksGetAnError(TestFleet fleet) throws Exception {
        for (int depth : new int[] {100, 9_000, 10_000}) {
            String nestedType = "Array(".repeat(depth) + "UInt8" + ")".repeat(depth);
            Reply nestedReply =
                    replyAfter(
                            fleet,
                            queryPacket("SELECT 1"),
                            dataPacket()
                                    .putVarUInt(1)
                                    .putVarUInt(1)
                                    .putString("x")
                                    .putString(nestedType));
            assertEquals(
                    depth < 10_000 ? 101 : 307,
                    nestedReply.code(),
                    nestedReply.message()); // the last type name is over the length limit
        }
        Reply unknownTypeReply =
                replyAfter(
                        fleet,
                        queryPacket("SELECT 1"),
                        dataPacket().putVarUInt(1).putVarUInt(1).putString("x").putString("Quark"));
        assertEquals(50, unknownTypeReply.code(), unknownTypeReply.message());
        Reply hugeBlockReply =
                replyAfter(
                        fleet,
                        queryPacket("SELECT 1"),
                        dataPacket()
                                .putVarUInt(1)
                                .putVarUInt(1L << 62)
                                .putString("x")
                                .putString("UInt64"));
        assertEquals(307, hugeBlockReply.code(), hugeBlockReply.message());
    }

    @Test
    void malformedOrMissingHelloEndsWithinTheLoginTimeout() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with("(bounds (login 300ms))").start();
                Socket malformed =
                        new Socket(
                                fleet.router.address().getAddress(),
                                fleet.router.address().getPort());
                Socket silent =
                        new Socket(
                                fleet.router.address().getAddress(),
                                fleet.router.address().getPort());
                Socket incomplete =
                        new Socket(
                                fleet.router.address().getAddress(),
                                fleet.router.address().getPort())) {
            malformed
                    .getOutputStream()
                    .write(
                            "GET / HTTP/1.1\r\n\r\n"
                                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            malformed.setSoTimeout(5_000);
            assertTrue(
                    malformed.getInputStream().readAllBytes().length > 0,
                    "the connection was closed without an error");
            incomplete.getOutputStream().write(0);
            silent.setSoTimeout(5_000);
            assertEquals(-1, silent.getInputStream().read());
            incomplete.setSoTimeout(5_000);
            assertEquals(-1, incomplete.getInputStream().read());
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        }
    }

    @Test
    void wrongPasswordAndUnknownUserGetTheSameError() throws Exception {
        String hash = ashlink.config.Passwords.hash("secret", 4);
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a")
                        .with("(user anna (password-hash \"" + hash + "\"))")
                        .start()) {
            NativeClient validClient = new NativeClient(null, Revision.HIGHEST);
            validClient.open(fleet.router.address(), "anna", "secret", "default", 5_000);
            assertEquals(
                    Kind.SERVED,
                    validClient.query("", "SELECT 1", Map.of(), 5 * NS_PER_SECOND).kind());
            validClient.close();
            for (String[] wrong :
                    new String[][] {{"anna", "Secret"}, {"anna", ""}, {"nobody", "secret"}}) {
                NativeClient nativeClient = new NativeClient(null, Revision.HIGHEST);
                IOException failure =
                        org.junit.jupiter.api.Assertions.assertThrows(
                                IOException.class,
                                () ->
                                        nativeClient.open(
                                                fleet.router.address(),
                                                wrong[0],
                                                wrong[1],
                                                "default",
                                                5_000));
                assertTrue(failure.getMessage().contains("516"), failure.getMessage());
            }
        }
    }

    @Test
    void connectionsOverTheLimitAreClosed() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").with("(bounds (connections 2))").start()) {
            NativeClient nativeClient = fleet.client("portal");
            fleet.client("portal");
            org.junit.jupiter.api.Assertions.assertThrows(
                    IOException.class, () -> fleet.client("portal"));
            assertEquals(
                    Kind.SERVED,
                    nativeClient.query("", "SELECT 1", Map.of(), 5 * NS_PER_SECOND).kind());
        }
    }

    @Test
    void requestsOverTheOpenRequestLimitAreRejected() throws Exception {
        try (TestFleet fleet =
                TestFleet.of("q1:typ-a").with("(bounds (open-requests 1))").start()) {
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "SELECT /* sim work_ms=400 tag=first */ 2", Map.of());
            TestFleet.await("the attempt of the first query", () -> !fleet.ledger().isEmpty());
            Reply reply = fleet.query("portal", "SELECT 1");
            assertEquals(202, reply.code(), reply.message());
            assertEquals(
                    Kind.SERVED,
                    nativeClient.await(List.of(), System.nanoTime() + 5 * NS_PER_SECOND).kind());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Place.class,
            names = {"ACCEPT", "HELLO", "QUERY", "RUN", "ANSWER", "END"})
    void readIsServedOrRejectedWhenAnEngineFailsAtAnyPlace(Place place) throws Exception {
        for (Break breakMode : new Break[] {Break.CLOSE, Break.GARBAGE, Break.SILENCE}) {
            try (TestFleet fleet =
                    TestFleet.of("q1:typ-a", "q2:typ-a").with("(bounds (connect 100ms))").start()) {
                fleet.engine("q1").faults().breakAt(place, breakMode, 1000);
                Reply reply =
                        fleet.client("portal")
                                .query(
                                        "",
                                        "SELECT /* sim tag=t */ 2",
                                        Map.of(),
                                        10 * NS_PER_SECOND);
                boolean silentAfterSend =
                        breakMode == Break.SILENCE && place != Place.ACCEPT && place != Place.HELLO;
                assertTrue(
                        reply.kind() == Kind.SERVED || silentAfterSend && reply.code() == 202,
                        place + " " + breakMode + ": " + reply);
            }
        }
    }

    @Test
    void hangingConnectTimesOut() throws Exception {
        try (ServerSocket unresponsiveServer =
                        new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress());
                TestFleet fleet =
                        TestFleet.of("q1:typ-a")
                                .with(
                                        "(bounds (connect 100ms)) (engine hung (address 127.0.0.1:"
                                                + unresponsiveServer.getLocalPort()
                                                + ") (zone halle-1) (kind typ-a))")
                                .start()) {
            for (int i = 0; i < 6; i++) {
                assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
            }
        }
    }

    @Test
    void idleConnectionClosedByTheEngineIsNotReused() throws Exception {
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal");
            assertEquals(
                    Kind.SERVED,
                    nativeClient
                            .query("", "INSERT INTO t SELECT 1", Map.of(), 5 * NS_PER_SECOND)
                            .kind());
            fleet.engine("q1").crash();
            fleet.engine("q1").restart();
            Reply reply =
                    nativeClient.query(
                            "",
                            "INSERT /* sim tag=t */ INTO t SELECT 1",
                            Map.of(),
                            5 * NS_PER_SECOND);
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
            assertEquals(1, fleet.executions("t"));
        }
    }
}
