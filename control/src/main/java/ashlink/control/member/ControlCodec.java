package ashlink.control.member;

import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet.CommandKey;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import ashlink.fleet.membership.MembershipUpdate;
import ashlink.fleet.membership.Message;
import ashlink.fleet.membership.Message.Ack;
import ashlink.fleet.membership.Message.Ping;
import ashlink.fleet.membership.Message.PingFor;
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
    private static final int MOST = 2_000;

    private ControlCodec() {}

    /** A frame that asks for something. */
    public static ObjectNode op(String name) {
        return JSON.objectNode().put("op", name);
    }

    // ---- Notices
    /** Notices as a frame of that name. */
    public static ObjectNode notices(String op, List<CommandWithTtl> held) {
        ObjectNode objectNode = op(op);
        ArrayNode all = objectNode.putArray("notices");
        for (CommandWithTtl ttl : held) {
            OperatorCommand operatorCommand = ttl.notice();
            all.addObject()
                    .put("subject", operatorCommand.subject())
                    .put("owner", operatorCommand.owner())
                    .put("revision", operatorCommand.revision())
                    .put("intent", operatorCommand.intent().name())
                    .put("by", operatorCommand.by())
                    .put("why", operatorCommand.why())
                    .put("leftMs", ttl.leftMs());
        }
        return objectNode;
    }

    /** The notices of a frame; an exception where one makes no sense. */
    public static List<CommandWithTtl> notices(JsonNode n) throws IOException {
        List<CommandWithTtl> held = new ArrayList<>();
        for (JsonNode x : list(n, "notices")) {
            try {
                held.add(
                        new CommandWithTtl(
                                new OperatorCommand(
                                        text(x, "subject"),
                                        text(x, "owner"),
                                        x.path("revision").asLong(),
                                        Intent.valueOf(text(x, "intent")),
                                        text(x, "by"),
                                        text(x, "why")),
                                x.path("leftMs").asLong()));
            } catch (IllegalArgumentException e) {
                throw new IOException("a notice makes no sense: " + e.getMessage());
            }
        }
        return held;
    }

    static ObjectNode digest(Map<CommandKey, Integer> digest, boolean back) {
        ObjectNode objectNode = op("digest").put("back", back);
        ArrayNode all = objectNode.putArray("digest");
        digest.forEach(
                (say, hash) ->
                        all.addObject()
                                .put("subject", say.subject())
                                .put("owner", say.owner())
                                .put("hash", hash));
        return objectNode;
    }

    static Map<CommandKey, Integer> digest(JsonNode n) throws IOException {
        Map<CommandKey, Integer> digest = new TreeMap<>();
        for (JsonNode x : list(n, "digest")) {
            digest.put(
                    new CommandKey(text(x, "subject"), text(x, "owner")), x.path("hash").asInt());
        }
        return digest;
    }

    // ---- Membership
    static ObjectNode swim(Message message, String address) {
        ObjectNode objectNode = op("swim").put("address", address);
        if (message instanceof Ping ping) {
            objectNode.put("kind", "ping").put("number", ping.number());
        } else if (message instanceof PingFor pingFor) {
            objectNode
                    .put("kind", "ping-for")
                    .put("number", pingFor.number())
                    .put("target", pingFor.target());
        } else if (message instanceof Ack ack) {
            objectNode.put("kind", "ack").put("number", ack.number()).put("of", ack.of());
        }
        ArrayNode rumors = objectNode.putArray("rumors");
        for (MembershipUpdate membershipUpdate : message.rumors()) {
            rumors.addObject()
                    .put("member", membershipUpdate.member())
                    .put("address", membershipUpdate.address())
                    .put("incarnation", membershipUpdate.incarnation())
                    .put("state", membershipUpdate.state().name());
        }
        return objectNode;
    }

    static Message swim(JsonNode n) throws IOException {
        List<MembershipUpdate> rumors = new ArrayList<>();
        try {
            for (JsonNode r : list(n, "rumors")) {
                rumors.add(
                        new MembershipUpdate(
                                text(r, "member"),
                                text(r, "address"),
                                r.path("incarnation").asLong(),
                                MembershipUpdate.State.valueOf(text(r, "state"))));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("a rumor makes no sense: " + e.getMessage());
        }
        long number = n.path("number").asLong();
        return switch (text(n, "kind")) {
            case "ping" -> new Ping(number, rumors);
            case "ping-for" -> new PingFor(number, text(n, "target"), rumors);
            case "ack" -> new Ack(number, text(n, "of"), rumors);
            default ->
                    throw new IOException("a message of kind " + text(n, "kind") + " is unknown");
        };
    }

    static String text(JsonNode n, String field) throws IOException {
        JsonNode v = n.path(field);
        if (!v.isTextual() || v.textValue().length() > OperatorCommand.MOST_CHARS) {
            throw new IOException(
                    "field "
                            + field
                            + " is no text of at most "
                            + OperatorCommand.MOST_CHARS
                            + " characters");
        }
        return v.textValue();
    }

    private static JsonNode list(JsonNode n, String field) throws IOException {
        JsonNode v = n.path(field);
        if (!v.isArray() || v.size() > MOST) {
            throw new IOException("field " + field + " is no list of at most " + MOST);
        }
        return v;
    }
}
