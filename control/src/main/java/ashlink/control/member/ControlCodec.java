package ashlink.control.member;

import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet.CommandKey;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import ashlink.fleet.membership.MembershipUpdate;
import ashlink.fleet.membership.Message;
import ashlink.fleet.membership.Message.Ack;
import ashlink.fleet.membership.Message.Ping;
import ashlink.fleet.membership.Message.PingReq;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Converts the JSON frames of the control channel to and from the objects that they represent. */
public final class ControlCodec {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final int MAX_LIST_ENTRIES = 2_000;

    private ControlCodec() {}

    /** Creates a frame with an operation and no arguments. */
    public static ObjectNode op(String name) {
        return JSON.objectNode().put(ControlProtocol.OP, name);
    }

    /** Creates a frame with an operation and commands. */
    public static ObjectNode commands(String op, List<CommandWithTtl> commands) {
        ObjectNode frame = op(op);
        ArrayNode entries = frame.putArray(ControlProtocol.COMMANDS);
        for (CommandWithTtl entry : commands) {
            OperatorCommand command = entry.command();
            entries.addObject()
                    .put(ControlProtocol.SUBJECT, command.subject())
                    .put(ControlProtocol.OWNER, command.owner())
                    .put(ControlProtocol.REVISION, command.revision())
                    .put(ControlProtocol.INTENT, ControlProtocol.intentName(command.intent()))
                    .put(ControlProtocol.ISSUER, command.issuer())
                    .put(ControlProtocol.REASON, command.reason())
                    .put(ControlProtocol.TTL_MS, entry.ttlMs());
        }
        return frame;
    }

    /**
     * Returns the commands in a frame.
     *
     * @throws IOException if a command is malformed or there are too many commands
     */
    public static List<CommandWithTtl> commands(JsonNode frame) throws IOException {
        List<CommandWithTtl> commands = new ArrayList<>();
        for (JsonNode entry : list(frame, ControlProtocol.COMMANDS)) {
            try {
                commands.add(
                        new CommandWithTtl(
                                new OperatorCommand(
                                        text(entry, ControlProtocol.SUBJECT),
                                        text(entry, ControlProtocol.OWNER),
                                        entry.path(ControlProtocol.REVISION).asLong(),
                                        ControlProtocol.parseIntent(
                                                text(entry, ControlProtocol.INTENT)),
                                        text(entry, ControlProtocol.ISSUER),
                                        text(entry, ControlProtocol.REASON)),
                                entry.path(ControlProtocol.TTL_MS).asLong()));
            } catch (IllegalArgumentException e) {
                throw new IOException(
                        "invalid entry in field "
                                + ControlProtocol.COMMANDS
                                + ": "
                                + e.getMessage());
            }
        }
        return commands;
    }

    static ObjectNode digest(Map<CommandKey, Integer> digest, boolean reply) {
        ObjectNode frame = op(ControlProtocol.OP_DIGEST).put(ControlProtocol.REPLY, reply);
        ArrayNode entries = frame.putArray(ControlProtocol.DIGEST);
        digest.forEach(
                (key, hash) ->
                        entries.addObject()
                                .put(ControlProtocol.SUBJECT, key.subject())
                                .put(ControlProtocol.OWNER, key.owner())
                                .put(ControlProtocol.HASH, hash));
        return frame;
    }

    static Map<CommandKey, Integer> digest(JsonNode frame) throws IOException {
        Map<CommandKey, Integer> digest = new TreeMap<>();
        for (JsonNode entry : list(frame, ControlProtocol.DIGEST)) {
            digest.put(
                    new CommandKey(
                            text(entry, ControlProtocol.SUBJECT),
                            text(entry, ControlProtocol.OWNER)),
                    entry.path(ControlProtocol.HASH).asInt());
        }
        return digest;
    }

    static ObjectNode swim(Message message, String address) {
        ObjectNode frame = op(ControlProtocol.OP_SWIM).put(ControlProtocol.ADDRESS, address);
        if (message instanceof Ping ping) {
            frame.put(ControlProtocol.KIND, ControlProtocol.KIND_PING)
                    .put(ControlProtocol.SEQUENCE, ping.sequence());
        } else if (message instanceof PingReq pingReq) {
            frame.put(ControlProtocol.KIND, ControlProtocol.KIND_PING_REQ)
                    .put(ControlProtocol.SEQUENCE, pingReq.sequence())
                    .put(ControlProtocol.TARGET, pingReq.target());
        } else if (message instanceof Ack ack) {
            frame.put(ControlProtocol.KIND, ControlProtocol.KIND_ACK)
                    .put(ControlProtocol.SEQUENCE, ack.sequence())
                    .put(ControlProtocol.ACKNOWLEDGED_MEMBER, ack.member());
        }
        ArrayNode updates = frame.putArray(ControlProtocol.UPDATES);
        for (MembershipUpdate update : message.updates()) {
            updates.addObject()
                    .put(ControlProtocol.MEMBER, update.member())
                    .put(ControlProtocol.ADDRESS, update.address())
                    .put(ControlProtocol.INCARNATION, update.incarnation())
                    .put(ControlProtocol.STATE, ControlProtocol.stateName(update.state()));
        }
        return frame;
    }

    static Message swim(JsonNode frame) throws IOException {
        List<MembershipUpdate> updates = new ArrayList<>();
        try {
            for (JsonNode entry : list(frame, ControlProtocol.UPDATES)) {
                updates.add(
                        new MembershipUpdate(
                                text(entry, ControlProtocol.MEMBER),
                                text(entry, ControlProtocol.ADDRESS),
                                entry.path(ControlProtocol.INCARNATION).asLong(),
                                ControlProtocol.parseState(text(entry, ControlProtocol.STATE))));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    "invalid entry in field " + ControlProtocol.UPDATES + ": " + e.getMessage());
        }
        long sequence = frame.path(ControlProtocol.SEQUENCE).asLong();
        return switch (text(frame, ControlProtocol.KIND)) {
            case ControlProtocol.KIND_PING -> new Ping(sequence, updates);
            case ControlProtocol.KIND_PING_REQ ->
                    new PingReq(sequence, text(frame, ControlProtocol.TARGET), updates);
            case ControlProtocol.KIND_ACK ->
                    new Ack(sequence, text(frame, ControlProtocol.ACKNOWLEDGED_MEMBER), updates);
            default ->
                    throw new IOException(
                            "unknown message kind "
                                    + text(frame, ControlProtocol.KIND)
                                    + ": expected ping, ping-for or ack");
        };
    }

    static String text(JsonNode json, String field) throws IOException {
        JsonNode value = json.path(field);
        if (!value.isTextual() || value.textValue().length() > OperatorCommand.MAX_FIELD_CHARS) {
            throw new IOException(
                    "invalid field "
                            + field
                            + ": expected a string of at most "
                            + OperatorCommand.MAX_FIELD_CHARS
                            + " characters");
        }
        return value.textValue();
    }

    private static JsonNode list(JsonNode json, String field) throws IOException {
        JsonNode value = json.path(field);
        if (!value.isArray() || value.size() > MAX_LIST_ENTRIES) {
            throw new IOException(
                    "invalid field "
                            + field
                            + ": expected an array of at most "
                            + MAX_LIST_ENTRIES
                            + " entries");
        }
        return value;
    }
}
