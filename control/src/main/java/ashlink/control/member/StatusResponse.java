package ashlink.control.member;

import ashlink.fleet.membership.MembershipUpdate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Builds the response to a status request: a router's commands and its view of the membership. */
final class StatusResponse {

    private StatusResponse() {}

    /** Builds the response for a time in milliseconds since 1970. */
    static ObjectNode of(
            String router,
            CommandStore store,
            Map<String, MembershipUpdate> members,
            long certificateExpiresMs,
            long nowMs) {
        ObjectNode response =
                ControlCodec.commands(ControlProtocol.OP_STATUS, store.commands().commands(nowMs))
                        .put(ControlProtocol.ROUTER, router)
                        .put(ControlProtocol.TIME_MS, nowMs)
                        .put(ControlProtocol.DURABLE, store.isDurable())
                        .put(ControlProtocol.CERTIFICATE_EXPIRES_MS, certificateExpiresMs);
        for (JsonNode command : response.path(ControlProtocol.COMMANDS)) {
            addReceivedTime((ObjectNode) command, store);
        }
        ArrayNode memberList = response.putArray(ControlProtocol.MEMBERS);
        for (MembershipUpdate update : members.values()) {
            memberList
                    .addObject()
                    .put(ControlProtocol.MEMBER, update.member())
                    .put(ControlProtocol.STATE, ControlProtocol.stateName(update.state()))
                    .put(ControlProtocol.INCARNATION, update.incarnation());
        }
        return response;
    }

    private static void addReceivedTime(ObjectNode entry, CommandStore store) {
        store.receivedMs()
                .forEach(
                        (command, receivedMs) -> {
                            if (command.subject()
                                            .equals(entry.path(ControlProtocol.SUBJECT).asText())
                                    && command.owner()
                                            .equals(entry.path(ControlProtocol.OWNER).asText())
                                    && command.revision()
                                            == entry.path(ControlProtocol.REVISION).asLong()) {
                                entry.put(ControlProtocol.RECEIVED_MS, receivedMs);
                            }
                        });
    }
}
