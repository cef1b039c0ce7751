package ashlink.control.member;

import ashlink.fleet.command.Intent;
import ashlink.fleet.membership.MembershipUpdate.State;

/**
 * Field names and values in the JSON frames of the control channel. Routers of different builds
 * exchange these frames, so the strings must not change, whatever the Java constants are called.
 */
final class ControlProtocol {

    static final String OP = "op";
    static final String OP_SWIM = "swim";
    static final String OP_COMMANDS = "notices";
    static final String OP_DIGEST = "digest";
    static final String OP_PUT = "put";
    static final String OP_STATUS = "status";
    static final String OP_PUT_RESULT = "known";

    static final String COMMANDS = "notices";
    static final String SUBJECT = "subject";
    static final String OWNER = "owner";
    static final String REVISION = "revision";
    static final String INTENT = "intent";
    static final String ISSUER = "by";
    static final String REASON = "why";
    static final String TTL_MS = "leftMs";
    static final String RECEIVED_MS = "learntMs";

    static final String DIGEST = "digest";
    static final String HASH = "hash";
    static final String REPLY = "back";

    static final String ADDRESS = "address";
    static final String KIND = "kind";
    static final String KIND_PING = "ping";
    static final String KIND_PING_REQ = "ping-for";
    static final String KIND_ACK = "ack";
    static final String SEQUENCE = "number";
    static final String TARGET = "target";
    static final String ACKNOWLEDGED_MEMBER = "of";
    static final String UPDATES = "rumors";
    static final String MEMBER = "member";
    static final String INCARNATION = "incarnation";
    static final String STATE = "state";

    static final String ROUTER = "router";
    static final String NEW_COMMANDS = "fresh";
    static final String DURABLE = "durable";
    static final String TIME_MS = "atMs";
    static final String CERTIFICATE_EXPIRES_MS = "certificateEndsMs";
    static final String MEMBERS = "members";

    private ControlProtocol() {}

    /** Returns the string that represents an intent. */
    static String intentName(Intent intent) {
        return switch (intent) {
            case NONE -> "NONE";
            case DRAIN -> "DRAIN";
            case STOP -> "STOP";
        };
    }

    /**
     * Returns the intent that a string represents.
     *
     * @throws IllegalArgumentException if the string represents no intent
     */
    static Intent parseIntent(String name) {
        return switch (name) {
            case "NONE" -> Intent.NONE;
            case "DRAIN" -> Intent.DRAIN;
            case "STOP" -> Intent.STOP;
            default ->
                    throw new IllegalArgumentException(
                            "unknown intent " + name + ": expected NONE, DRAIN or STOP");
        };
    }

    /** Returns the string that represents a member state. */
    static String stateName(State state) {
        return switch (state) {
            case ALIVE -> "ALIVE";
            case SUSPECT -> "SUSPECT";
            case DEAD -> "GONE";
        };
    }

    /**
     * Returns the member state that a string represents.
     *
     * @throws IllegalArgumentException if the string represents no member state
     */
    static State parseState(String name) {
        return switch (name) {
            case "ALIVE" -> State.ALIVE;
            case "SUSPECT" -> State.SUSPECT;
            case "GONE" -> State.DEAD;
            default ->
                    throw new IllegalArgumentException(
                            "unknown member state " + name + ": expected ALIVE, SUSPECT or GONE");
        };
    }
}
