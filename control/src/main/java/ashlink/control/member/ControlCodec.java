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
        ObjectNode n = op(op);
        ArrayNode all = n.putArray("notices");
        for (CommandWithTtl h : held) {
            OperatorCommand x = h.notice();
            all.addObject()
                    .put("subject", x.subject())
                    .put("owner", x.owner())
                    .put("revision", x.revision())
                    .put("intent", x.intent().name())
                    .put("by", x.by())
                    .put("why", x.why())
                    .put("leftMs", h.leftMs());
        }
        return n;
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
        ObjectNode n = op("digest").put("back", back);
        ArrayNode all = n.putArray("digest");
        digest.forEach(
                (say, hash) ->
                        all.addObject()
                                .put("subject", say.subject())
                                .put("owner", say.owner())
                                .put("hash", hash));
        return n;
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
    static ObjectNode swim(Message m, String address) {
        ObjectNode n = op("swim").put("address", address);
        if (m instanceof Ping p) {
            n.put("kind", "ping").put("number", p.number());
        } else if (m instanceof PingFor p) {
            n.put("kind", "ping-for").put("number", p.number()).put("target", p.target());
        } else if (m instanceof Ack a) {
            n.put("kind", "ack").put("number", a.number()).put("of", a.of());
        }
        ArrayNode rumors = n.putArray("rumors");
        for (MembershipUpdate r : m.rumors()) {
            rumors.addObject()
                    .put("member", r.member())
                    .put("address", r.address())
                    .put("incarnation", r.incarnation())
                    .put("state", r.state().name());
        }
        return n;
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
