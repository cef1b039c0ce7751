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
 * Peers that lie, stall or break: a clear error or a closed socket within a stated time, and the
 * others unharmed.
 */
class BadPeersTest {

    private static final long S = Fleet.S;

    private static ByteBuf data() throws IOException {
        return new ByteBuf()
                .putVarUInt(ClientPacket.DATA.ordinal())
                .putString("")
                .putVarUInt(1)
                .putByte(0)
                .putVarUInt(2)
                .putInt(-1)
                .putVarUInt(0);
    }

    private static ByteBuf query(String statement) throws IOException {
        ByteBuf byteBuf = new ByteBuf();
        new QueryPacket("", ClientInfo.NONE, List.of(), QueryPacket.COMPLETE, false, statement)
                .write(Revision.HIGHEST, byteBuf);
        return byteBuf;
    }

    /**
     * Sends that after a login; the router must say why, or close, within seconds, and go on
     * serving others.
     */
    private static Reply after(Fleet fleet, ByteBuf... packets) throws Exception {
        NativeClient nativeClient = fleet.client("portal");
        for (ByteBuf byteBuf : packets) {
            byteBuf.writeTo(nativeClient.socket().getOutputStream());
        }
        Reply reply = nativeClient.await(List.of(), System.nanoTime() + 5 * S);
        assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        return reply;
    }

    @Test
    void wrongBytesOfAClientGetAClearError() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            assertEquals(101, after(fleet, new ByteBuf().putVarUInt(77)).code());
            assertEquals(
                    307, after(fleet, new ByteBuf().putVarUInt(1).putVarUInt(1L << 62)).code());
            assertEquals(
                    307, after(fleet, new ByteBuf().putVarUInt(1).putVarUInt(1L << 30)).code());
            assertEquals(
                    307,
                    after(fleet, query("SELECT 1"), data().putVarUInt(100_000).putVarUInt(1))
                            .code());
            for (int depth : new int[] {100, 9_000, 10_000}) {
                String deep = "Array(".repeat(depth) + "UInt8" + ")".repeat(depth);
                Reply nested =
                        after(
                                fleet,
                                query("SELECT 1"),
                                data().putVarUInt(1).putVarUInt(1).putString("x").putString(deep));
                assertEquals(
                        depth < 10_000 ? 101 : 307,
                        nested.code(),
                        nested.message()); // the last is too long a text
            }
            Reply unknown =
                    after(
                            fleet,
                            query("SELECT 1"),
                            data().putVarUInt(1).putVarUInt(1).putString("x").putString("Quark"));
            assertEquals(50, unknown.code(), unknown.message());
            Reply huge =
                    after(
                            fleet,
                            query("SELECT 1"),
                            data().putVarUInt(1)
                                    .putVarUInt(1L << 62)
                                    .putString("x")
                                    .putString("UInt64"));
            assertEquals(307, huge.code(), huge.message());
        }
    }

    @Test
    void garbageForHelloAndSilenceBeforeLoginEndInTime() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").with("(bounds (login 300ms))").start();
                Socket garbage =
                        new Socket(
                                fleet.router.address().getAddress(),
                                fleet.router.address().getPort());
                Socket silent =
                        new Socket(
                                fleet.router.address().getAddress(),
                                fleet.router.address().getPort());
                Socket dribble =
                        new Socket(
                                fleet.router.address().getAddress(),
                                fleet.router.address().getPort())) {
            garbage.getOutputStream()
                    .write(
                            "GET / HTTP/1.1\r\n\r\n"
                                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            garbage.setSoTimeout(5_000);
            assertTrue(
                    garbage.getInputStream().readAllBytes().length > 0,
                    "no word of what was wrong");
            dribble.getOutputStream().write(0);
            silent.setSoTimeout(5_000);
            assertEquals(-1, silent.getInputStream().read());
            dribble.setSoTimeout(5_000);
            assertEquals(-1, dribble.getInputStream().read());
            assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
        }
    }

    @Test
    void aWrongPasswordOrUserIsRefusedAlike() throws Exception {
        String hash = ashlink.config.Passwords.hash("secret", 4);
        try (Fleet fleet =
                Fleet.of("q1:typ-a").with("(user anna (password-hash \"" + hash + "\"))").start()) {
            NativeClient good = new NativeClient(null, Revision.HIGHEST);
            good.open(fleet.router.address(), "anna", "secret", "default", 5_000);
            assertEquals(Kind.SERVED, good.query("", "SELECT 1", Map.of(), 5 * S).kind());
            good.close();
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
    void overTheLimitOfConnectionsFurtherOnesAreClosed() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").with("(bounds (connections 2))").start()) {
            NativeClient nativeClient = fleet.client("portal");
            fleet.client("portal");
            org.junit.jupiter.api.Assertions.assertThrows(
                    IOException.class, () -> fleet.client("portal"));
            assertEquals(Kind.SERVED, nativeClient.query("", "SELECT 1", Map.of(), 5 * S).kind());
        }
    }

    @Test
    void overTheLimitOfOpenRequestsFurtherOnesAreTurnedAwayAtTheDoor() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").with("(bounds (open-requests 1))").start()) {
            NativeClient nativeClient = fleet.client("portal");
            nativeClient.sendQuery("", "SELECT /* sim work_ms=400 tag=first */ 2", Map.of());
            Fleet.await("the first is out", () -> !fleet.ledger().isEmpty());
            Reply reply = fleet.query("portal", "SELECT 1");
            assertEquals(202, reply.code(), reply.message());
            assertEquals(
                    Kind.SERVED, nativeClient.await(List.of(), System.nanoTime() + 5 * S).kind());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Place.class,
            names = {"ACCEPT", "HELLO", "QUERY", "RUN", "ANSWER", "END"})
    void anEngineThatBreaksAnywhereOrSaysNothingCostsALookUpNothingButTime(Place place)
            throws Exception {
        for (Break how : new Break[] {Break.CLOSE, Break.GARBAGE, Break.SILENCE}) {
            try (Fleet fleet =
                    Fleet.of("q1:typ-a", "q2:typ-a").with("(bounds (connect 100ms))").start()) {
                fleet.engine("q1").faults().breakAt(place, how, 1000);
                Reply reply =
                        fleet.client("portal")
                                .query("", "SELECT /* sim tag=t */ 2", Map.of(), 10 * S);
                boolean silentAfterSend =
                        how == Break.SILENCE && place != Place.ACCEPT && place != Place.HELLO;
                assertTrue(
                        reply.kind() == Kind.SERVED || silentAfterSend && reply.code() == 202,
                        place + " " + how + ": " + reply);
            }
        }
    }

    @Test
    void aConnectThatHangsIsGivenUp() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress());
                Fleet fleet =
                        Fleet.of("q1:typ-a")
                                .with(
                                        "(bounds (connect 100ms)) (engine hung (address 127.0.0.1:"
                                                + full.getLocalPort()
                                                + ") (zone halle-1) (kind typ-a))")
                                .start()) {
            for (int i = 0; i < 6; i++) {
                assertEquals(Kind.SERVED, fleet.query("portal", "SELECT 1").kind());
            }
        }
    }

    @Test
    void aConnectionThatTheEngineClosedWhileIdleIsNotUsed() throws Exception {
        try (Fleet fleet = Fleet.of("q1:typ-a").start()) {
            NativeClient nativeClient = fleet.client("portal");
            assertEquals(
                    Kind.SERVED,
                    nativeClient.query("", "INSERT INTO t SELECT 1", Map.of(), 5 * S).kind());
            fleet.engine("q1").crash();
            fleet.engine("q1").restart();
            Reply reply =
                    nativeClient.query(
                            "", "INSERT /* sim tag=t */ INTO t SELECT 1", Map.of(), 5 * S);
            assertEquals(Kind.SERVED, reply.kind(), reply.message());
            assertEquals(1, fleet.runs("t"));
        }
    }
}
