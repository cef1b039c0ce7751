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

/** Frames of the control channel, to and from what they say. */
public final class ControlCodec {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final int MAX_LIST_ENTRIES = 2_000;

    private ControlCodec() {}

    /** A frame that asks for something. */
    public static ObjectNode op(String name) {
        return JSON.objectNode().put(ControlWords.OP, name);
    }

    // ---- Notices
    /** Notices as a frame of that name. */
    public static ObjectNode notices(String op, List<CommandWithTtl> held) {
        ObjectNode objectNode = op(op);
        ArrayNode all = objectNode.putArray(ControlWords.COMMANDS);
        for (CommandWithTtl ttl : held) {
            OperatorCommand operatorCommand = ttl.notice();
            all.addObject()
                    .put(ControlWords.SUBJECT, operatorCommand.subject())
                    .put(ControlWords.OWNER, operatorCommand.owner())
                    .put(ControlWords.REVISION, operatorCommand.revision())
                    .put(ControlWords.INTENT, ControlWords.word(operatorCommand.intent()))
                    .put(ControlWords.ISSUER, operatorCommand.by())
                    .put(ControlWords.REASON, operatorCommand.why())
                    .put(ControlWords.TTL_MS, ttl.leftMs());
        }
        return objectNode;
    }

    /** The notices of a frame; an exception where one makes no sense. */
    public static List<CommandWithTtl> notices(JsonNode n) throws IOException {
        List<CommandWithTtl> held = new ArrayList<>();
        for (JsonNode x : list(n, ControlWords.COMMANDS)) {
            try {
                held.add(
                        new CommandWithTtl(
                                new OperatorCommand(
                                        text(x, ControlWords.SUBJECT),
                                        text(x, ControlWords.OWNER),
                                        x.path(ControlWords.REVISION).asLong(),
                                        ControlWords.intent(text(x, ControlWords.INTENT)),
                                        text(x, ControlWords.ISSUER),
                                        text(x, ControlWords.REASON)),
                                x.path(ControlWords.TTL_MS).asLong()));
            } catch (IllegalArgumentException e) {
                throw new IOException("a notice makes no sense: " + e.getMessage());
            }
        }
        return held;
    }

    static ObjectNode digest(Map<CommandKey, Integer> digest, boolean back) {
        ObjectNode objectNode = op(ControlWords.OP_DIGEST).put(ControlWords.REPLY, back);
        ArrayNode all = objectNode.putArray(ControlWords.DIGEST);
        digest.forEach(
                (say, hash) ->
                        all.addObject()
                                .put(ControlWords.SUBJECT, say.subject())
                                .put(ControlWords.OWNER, say.owner())
                                .put(ControlWords.HASH, hash));
        return objectNode;
    }

    static Map<CommandKey, Integer> digest(JsonNode n) throws IOException {
        Map<CommandKey, Integer> digest = new TreeMap<>();
        for (JsonNode x : list(n, ControlWords.DIGEST)) {
            digest.put(
                    new CommandKey(text(x, ControlWords.SUBJECT), text(x, ControlWords.OWNER)),
                    x.path(ControlWords.HASH).asInt());
        }
        return digest;
    }

    // ---- Membership
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
        ArrayNode rumors = objectNode.putArray(ControlWords.UPDATES);
        for (MembershipUpdate membershipUpdate : message.updates()) {
            rumors.addObject()
                    .put(ControlWords.MEMBER, membershipUpdate.member())
                    .put(ControlWords.ADDRESS, membershipUpdate.address())
                    .put(ControlWords.INCARNATION, membershipUpdate.incarnation())
                    .put(ControlWords.STATE, ControlWords.word(membershipUpdate.state()));
        }
        return objectNode;
    }

    static Message swim(JsonNode n) throws IOException {
        List<MembershipUpdate> rumors = new ArrayList<>();
        try {
            for (JsonNode r : list(n, ControlWords.UPDATES)) {
                rumors.add(
                        new MembershipUpdate(
                                text(r, ControlWords.MEMBER),
                                text(r, ControlWords.ADDRESS),
                                r.path(ControlWords.INCARNATION).asLong(),
                                ControlWords.state(text(r, ControlWords.STATE))));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("a rumor makes no sense: " + e.getMessage());
        }
        long number = n.path(ControlWords.SEQUENCE).asLong();
        return switch (text(n, ControlWords.KIND)) {
            case ControlWords.KIND_PING -> new Ping(number, rumors);
            case ControlWords.KIND_PING_REQ ->
                    new PingReq(number, text(n, ControlWords.TARGET), rumors);
            case ControlWords.KIND_ACK ->
                    new Ack(number, text(n, ControlWords.ACKNOWLEDGED_MEMBER), rumors);
            default ->
                    throw new IOException(
                            "a message of kind " + text(n, ControlWords.KIND) + " is unknown");
        };
    }

    static String text(JsonNode n, String field) throws IOException {
        JsonNode v = n.path(field);
        if (!v.isTextual() || v.textValue().length() > OperatorCommand.MAX_FIELD_CHARS) {
            throw new IOException(
                    "field "
                            + field
                            + " is no text of at most "
                            + OperatorCommand.MAX_FIELD_CHARS
                            + " characters");
        }
        return v.textValue();
    }

    private static JsonNode list(JsonNode n, String field) throws IOException {
        JsonNode v = n.path(field);
        if (!v.isArray() || v.size() > MAX_LIST_ENTRIES) {
            throw new IOException("field " + field + " is no list of at most " + MAX_LIST_ENTRIES);
        }
        return v;
    }
}
