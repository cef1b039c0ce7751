package ashlink.control.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet.CommandKey;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import ashlink.fleet.membership.MembershipUpdate;
import ashlink.fleet.membership.MembershipUpdate.State;
import ashlink.fleet.membership.Message;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that frames have exactly the bytes that routers of other builds write and read. */
class ControlProtocolTest {

    private static final List<MembershipUpdate> UPDATES =
            Stream.of(State.ALIVE, State.SUSPECT, State.DEAD)
                    .map(state -> new MembershipUpdate("r3", "a:3", 4, state))
                    .toList();
    private static final String UPDATES_JSON =
            Stream.of("ALIVE", "SUSPECT", "GONE")
                    .map(
                            state ->
                                    "{\"member\":\"r3\",\"address\":\"a:3\",\"incarnation\":4,"
                                            + "\"state\":\""
                                            + state
                                            + "\"}")
                    .collect(java.util.stream.Collectors.joining(",", "\"rumors\":[", "]}"));

    private static void assertSwimFrame(String expected, Message message) throws Exception {
        assertEquals(expected + UPDATES_JSON, ControlCodec.swim(message, "a:1").toString());
        assertEquals(message, ControlCodec.swim(ControlCodec.swim(message, "a:1")));
    }

    @Test
    void pingFrameKeepsItsFieldNamesAndValues() throws Exception {
        assertSwimFrame(
                "{\"op\":\"swim\",\"address\":\"a:1\",\"kind\":\"ping\",\"number\":7,",
                new Message.Ping(7, UPDATES));
    }

    @Test
    void pingReqFrameKeepsItsFieldNamesAndValues() throws Exception {
        assertSwimFrame(
                "{\"op\":\"swim\",\"address\":\"a:1\",\"kind\":\"ping-for\",\"number\":7,"
                        + "\"target\":\"r2\",",
                new Message.PingReq(7, "r2", UPDATES));
    }

    @Test
    void ackFrameKeepsItsFieldNamesAndValues() throws Exception {
        assertSwimFrame(
                "{\"op\":\"swim\",\"address\":\"a:1\",\"kind\":\"ack\",\"number\":7,"
                        + "\"of\":\"r2\",",
                new Message.Ack(7, "r2", UPDATES));
    }

    @Test
    void commandFrameKeepsItsFieldNamesAndValues() throws Exception {
        for (Intent intent : Intent.values()) {
            List<CommandWithTtl> commands =
                    List.of(
                            new CommandWithTtl(
                                    new OperatorCommand("engine:q1", "ann", 3, intent, "ben", "x"),
                                    5_000));
            String intentName = Map.of(0, "NONE", 1, "DRAIN", 2, "STOP").get(intent.code());
            String expected =
                    "{\"op\":\"put\",\"notices\":[{\"subject\":\"engine:q1\",\"owner\":\"ann\","
                            + "\"revision\":3,\"intent\":\""
                            + intentName
                            + "\",\"by\":\"ben\",\"why\":\"x\",\"leftMs\":5000}]}";
            assertEquals(expected, ControlCodec.commands("put", commands).toString());
            assertEquals(commands, ControlCodec.commands(ControlCodec.commands("put", commands)));
        }
    }

    @Test
    void digestFrameKeepsItsFieldNamesAndValues() throws Exception {
        Map<CommandKey, Integer> digest = Map.of(new CommandKey("engine:q1", "ann"), -5);
        assertEquals(
                "{\"op\":\"digest\",\"back\":true,\"digest\":[{\"subject\":\"engine:q1\","
                        + "\"owner\":\"ann\",\"hash\":-5}]}",
                ControlCodec.digest(digest, true).toString());
        assertEquals(digest, ControlCodec.digest(ControlCodec.digest(digest, true)));
    }

    @Test
    void unknownStateAndIntentNamesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> ControlProtocol.parseState("DEAD"));
        assertThrows(IllegalArgumentException.class, () -> ControlProtocol.parseIntent("PAUSE"));
    }
}
