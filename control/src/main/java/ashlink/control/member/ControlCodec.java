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
        return JSON.objectNode().put(ControlWords.OP, name);
    }

    /** Creates a frame with an operation and commands. */
    public static ObjectNode commands(String op, List<CommandWithTtl> commands) {
        ObjectNode objectNode = op(op);
        ArrayNode all = objectNode.putArray(ControlWords.COMMANDS);
        for (CommandWithTtl ttl : commands) {
            OperatorCommand operatorCommand = ttl.command();
            all.addObject()
                    .put(ControlWords.SUBJECT, operatorCommand.subject())
                    .put(ControlWords.OWNER, operatorCommand.owner())
                    .put(ControlWords.REVISION, operatorCommand.revision())
                    .put(ControlWords.INTENT, ControlWords.word(operatorCommand.intent()))
                    .put(ControlWords.ISSUER, operatorCommand.by())
                    .put(ControlWords.REASON, operatorCommand.why())
                    .put(ControlWords.TTL_MS, ttl.ttlMs());
        }
        return objectNode;
    }

    /**
     * Returns the commands in a frame.
     *
     * @throws IOException if a command is malformed or there are too many commands
     */
    public static List<CommandWithTtl> commands(JsonNode json) throws IOException {
        List<CommandWithTtl> commands = new ArrayList<>();
        for (JsonNode entry : list(json, ControlWords.COMMANDS)) {
            try {
                commands.add(
                        new CommandWithTtl(
                                new OperatorCommand(
                                        text(entry, ControlWords.SUBJECT),
                                        text(entry, ControlWords.OWNER),
                                        entry.path(ControlWords.REVISION).asLong(),
                                        ControlWords.intent(text(entry, ControlWords.INTENT)),
                                        text(entry, ControlWords.ISSUER),
                                        text(entry, ControlWords.REASON)),
                                entry.path(ControlWords.TTL_MS).asLong()));
            } catch (IllegalArgumentException e) {
                throw new IOException(
                        "invalid entry in field " + ControlWords.COMMANDS + ": " + e.getMessage());
            }
        }
        return commands;
    }

    static ObjectNode digest(Map<CommandKey, Integer> digest, boolean reply) {
        ObjectNode objectNode = op(ControlWords.OP_DIGEST).put(ControlWords.REPLY, reply);
        ArrayNode all = objectNode.putArray(ControlWords.DIGEST);
        digest.forEach(
                (key, hash) ->
                        all.addObject()
                                .put(ControlWords.SUBJECT, key.subject())
                                .put(ControlWords.OWNER, key.owner())
                                .put(ControlWords.HASH, hash));
        return objectNode;
    }

    static Map<CommandKey, Integer> digest(JsonNode json) throws IOException {
        Map<CommandKey, Integer> digest = new TreeMap<>();
        for (JsonNode entry : list(json, ControlWords.DIGEST)) {
            digest.put(
                    new CommandKey(
                            text(entry, ControlWords.SUBJECT), text(entry, ControlWords.OWNER)),
                    entry.path(ControlWords.HASH).asInt());
        }
        return digest;
    }

    static ObjectNode swim(Message message, String address) {
        ObjectNode objectNode = op(ControlWords.OP_SWIM).put(ControlWords.ADDRESS, address);
        if (message instanceof Ping ping) {
            objectNode
                    .put(ControlWords.KIND, ControlWords.KIND_PING)
                    .put(ControlWords.SEQUENCE, ping.sequence());
        } else if (message instanceof PingReq pingFor) {
            objectNode
                    .put(ControlWords.KIND, ControlWords.KIND_PING_REQ)
                    .put(ControlWords.SEQUENCE, pingFor.sequence())
                    .put(ControlWords.TARGET, pingFor.target());
        } else if (message instanceof Ack ack) {
            objectNode
                    .put(ControlWords.KIND, ControlWords.KIND_ACK)
                    .put(ControlWords.SEQUENCE, ack.sequence())
                    .put(ControlWords.ACKNOWLEDGED_MEMBER, ack.member());
        }
        ArrayNode updates = objectNode.putArray(ControlWords.UPDATES);
        for (MembershipUpdate membershipUpdate : message.updates()) {
            updates.addObject()
                    .put(ControlWords.MEMBER, membershipUpdate.member())
                    .put(ControlWords.ADDRESS, membershipUpdate.address())
                    .put(ControlWords.INCARNATION, membershipUpdate.incarnation())
                    .put(ControlWords.STATE, ControlWords.word(membershipUpdate.state()));
        }
        return objectNode;
    }

    static Message swim(JsonNode json) throws IOException {
        List<MembershipUpdate> updates = new ArrayList<>();
        try {
            for (JsonNode entry : list(json, ControlWords.UPDATES)) {
                updates.add(
                        new MembershipUpdate(
                                text(entry, ControlWords.MEMBER),
                                text(entry, ControlWords.ADDRESS),
                                entry.path(ControlWords.INCARNATION).asLong(),
                                ControlWords.state(text(entry, ControlWords.STATE))));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    "invalid entry in field " + ControlWords.UPDATES + ": " + e.getMessage());
        }
        long number = json.path(ControlWords.SEQUENCE).asLong();
        return switch (text(json, ControlWords.KIND)) {
            case ControlWords.KIND_PING -> new Ping(number, updates);
            case ControlWords.KIND_PING_REQ ->
                    new PingReq(number, text(json, ControlWords.TARGET), updates);
            case ControlWords.KIND_ACK ->
                    new Ack(number, text(json, ControlWords.ACKNOWLEDGED_MEMBER), updates);
            default ->
                    throw new IOException(
                            "unknown message kind "
                                    + text(json, ControlWords.KIND)
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
