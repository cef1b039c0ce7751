package ashlink.control.member;

import ashlink.fleet.membership.MembershipUpdate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Builds the response to a status request: a router's commands and its view of the membership. */
final class StatusPage {

    private StatusPage() {}

    /** Builds the response for a time in milliseconds since 1970. */
    static ObjectNode of(
            String router,
            CommandStore store,
            Map<String, MembershipUpdate> members,
            long certificateExpiresMs,
            long nowMs) {
        ObjectNode page =
                ControlCodec.commands(ControlWords.OP_STATUS, store.commands().commands(nowMs))
                        .put(ControlWords.ROUTER, router)
                        .put(ControlWords.TIME_MS, nowMs)
                        .put(ControlWords.DURABLE, store.isDurable())
                        .put(ControlWords.CERTIFICATE_EXPIRES_MS, certificateExpiresMs);
        for (JsonNode command : page.path(ControlWords.COMMANDS)) {
            addReceivedTime((ObjectNode) command, store);
        }
        ArrayNode list = page.putArray(ControlWords.MEMBERS);
        for (MembershipUpdate update : members.values()) {
            list.addObject()
                    .put(ControlWords.MEMBER, update.member())
                    .put(ControlWords.STATE, ControlWords.word(update.state()))
                    .put(ControlWords.INCARNATION, update.incarnation());
        }
        return page;
    }

    private static void addReceivedTime(ObjectNode json, CommandStore store) {
        store.receivedMs()
                .forEach(
                        (command, receivedMs) -> {
                            if (command.subject().equals(json.path(ControlWords.SUBJECT).asText())
                                    && command.owner()
                                            .equals(json.path(ControlWords.OWNER).asText())
                                    && command.revision()
                                            == json.path(ControlWords.REVISION).asLong()) {
                                json.put(ControlWords.RECEIVED_MS, receivedMs);
                            }
                        });
    }
}
